package fennelthread.wire;

import java.util.ArrayList;
import java.util.List;

/**
 * A request to the cloud to rent machines.
 *
 * @param request the unique name of the request: repeating it under this name rents no further
 *     machines
 * @param spot true for spot machines
 * @param count the number of machines
 */
public record Rental(String request, String type, String zone, boolean spot, int count) {

  /** Writes the request. */
  public Fields write() {
    return Fields.create()
        .with("pedido", request)
        .with("modelo", type)
        .with("zona", zone)
        .with("prestadas", spot)
        .with("how_many", (long) count);
  }

  /** Writes a request to return the named machines. */
  public static Fields writeNames(List<String> names) {
    return Fields.create().with("equipos", new ArrayList<>(names));
  }

  /** Reads the names of the rented machines from the answer to a rental request. */
  public static List<String> readNames(Fields body) throws WireException {
    List<String> names = body.optTexts("equipos");
    return names == null ? List.of() : names;
  }
}
