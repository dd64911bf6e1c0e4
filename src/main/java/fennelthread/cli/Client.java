package fennelthread.cli;

import fennelthread.settings.SettingsException;
import fennelthread.wire.Codec;
import fennelthread.wire.Fields;
import fennelthread.wire.JobSpec;
import fennelthread.wire.WireException;
import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import picocli.CommandLine.Option;

/** What the client commands share: one request to a controller, its answer printed as JSON. */
final class Client {
  /** A name or an address, in brackets if it holds colons, and a port. */
  private static final Pattern ADDRESS =
      Pattern.compile("(?:[A-Za-z0-9][A-Za-z0-9.-]*|\\[[0-9A-Fa-f:.]+\\]):([1-9][0-9]{0,4})");

  private static final int LARGEST_PORT = 65_535;

  @Option(
      names = "--to",
      paramLabel = "HOST:PORT",
      required = true,
      description = "A controller's address for users.")
  String address;

  /**
   * Checks what was named on the command line before anything is sent.
   *
   * @throws SettingsException naming what is wrong
   */
  private void checkAddress() throws SettingsException {
    Matcher parts = ADDRESS.matcher(address);
    if (!parts.matches() || Integer.parseInt(parts.group(1)) > LARGEST_PORT) {
      throw new SettingsException("--to: must be of the form HOST:PORT, not '" + address + "'");
    }
  }

  /**
   * The path of a job.
   *
   * @throws SettingsException if this can't be a job's id
   */
  static String path(String id) throws SettingsException {
    if (!JobSpec.isId(id)) {
      throw new SettingsException("ID: must be of the form job-000412, not '" + id + "'");
    }
    return "/v1/jobs/" + id;
  }

  /** Sends a request; exit code 0 for an answer of 200 or 201, 1 otherwise. */
  int send(String method, String path, byte[] body)
      throws IOException, InterruptedException, SettingsException {
    checkAddress();
    HttpRequest request =
        HttpRequest.newBuilder(URI.create("http://" + address + path))
            .timeout(Duration.ofSeconds(5))
            .header("Content-Type", Codec.CBOR.contentType())
            .method(
                method,
                body == null
                    ? HttpRequest.BodyPublishers.noBody()
                    : HttpRequest.BodyPublishers.ofByteArray(body))
            .build();
    HttpResponse<byte[]> response;
    try {
      response = HttpClient.newHttpClient().send(request, HttpResponse.BodyHandlers.ofByteArray());
    } catch (IOException e) {
      System.err.println("no answer from " + address + ": " + e.getMessage());
      return 1;
    }
    String text;
    try {
      Fields fields = Codec.CBOR.decode(response.body());
      text = new String(Codec.JSON.encode(fields), StandardCharsets.UTF_8);
    } catch (WireException e) {
      text = "(an answer that can't be read)";
    }
    boolean good = response.statusCode() == 200 || response.statusCode() == 201;
    (good ? System.out : System.err).println(response.statusCode() + " " + text);
    return good ? 0 : 1;
  }
}
