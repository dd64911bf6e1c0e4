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

/** The shared part of the client commands: sends one request and prints the answer as JSON. */
final class Client {
  /** A host name, an IPv4 address or an IPv6 address in brackets, and a port. */
  private static final Pattern ADDRESS =
      Pattern.compile("(?:[A-Za-z0-9][A-Za-z0-9.-]*|\\[[0-9A-Fa-f:.]+\\]):([1-9][0-9]{0,4})");

  private static final int MAX_PORT = 65_535;

  @Option(
      names = "--to",
      paramLabel = "HOST:PORT",
      required = true,
      description = "A controller's address for users.")
  String address;

  /**
   * Validates the address before anything is sent.
   *
   * @throws SettingsException if it is malformed
   */
  private void checkAddress() throws SettingsException {
    Matcher matcher = ADDRESS.matcher(address);
    if (!matcher.matches() || Integer.parseInt(matcher.group(1)) > MAX_PORT) {
      throw new SettingsException("--to: must be of the form HOST:PORT, not '" + address + "'");
    }
  }

  /**
   * Returns the path of a job.
   *
   * @throws SettingsException if the id is malformed
   */
  static String jobPath(String id) throws SettingsException {
    if (!JobSpec.isId(id)) {
      throw new SettingsException("ID: must be of the form job-000412, not '" + id + "'");
    }
    return "/v1/jobs/" + id;
  }

  /**
   * Sends a request and prints the answer.
   *
   * @param body null for a request without a body
   * @return the exit code: 0 for status 200 or 201, 1 for others or no answer
   */
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
      text = "(malformed answer)";
    }
    boolean isSuccess = response.statusCode() == 200 || response.statusCode() == 201;
    (isSuccess ? System.out : System.err).println(response.statusCode() + " " + text);
    return isSuccess ? 0 : 1;
  }
}
