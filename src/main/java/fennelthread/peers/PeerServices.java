package fennelthread.peers;

import fennelthread.net.Answer;
import fennelthread.net.Request;
import fennelthread.net.Service;
import java.util.HashMap;
import java.util.Map;
import java.util.function.Consumer;

/** The services of other subsystems that peers can call, each under its own path prefix. */
final class PeerServices {
  private final Map<String, Service> servicesByPrefix = new HashMap<>();

  /** Adds the service that handles requests whose path starts with {@code prefix}. */
  void add(String prefix, Service service) {
    servicesByPrefix.put(prefix, service);
  }

  /** Passes a POST request to the service with a matching path prefix; false if there is none. */
  boolean tryHandle(Request request, Consumer<Answer> reply) {
    for (Map.Entry<String, Service> entry : servicesByPrefix.entrySet()) {
      if (request.path().startsWith(entry.getKey()) && request.method().equals("POST")) {
        entry.getValue().handle(request, reply);
        return true;
      }
    }
    return false;
  }
}
