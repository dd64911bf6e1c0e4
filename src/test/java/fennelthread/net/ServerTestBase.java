package fennelthread.net;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;

/** What the tests of the HTTP server share: a server of its own for each test. */
abstract class ServerTestBase {
  ServerFixture server;

  @BeforeEach
  void startServer() throws IOException {
    server = new ServerFixture();
  }

  @AfterEach
  void stopServer() {
    server.close();
  }

  static byte[] bytes(String text) {
    return text.getBytes(StandardCharsets.UTF_8);
  }
}
