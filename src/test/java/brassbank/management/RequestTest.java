package brassbank.management;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class RequestTest {
  private final List<String> invoked = new ArrayList<>();

  private final ManagementOperations operations =
      new ManagementOperations() {
        @Override
        public Result status() {
          invoked.add("status");
          return new Result(false, "starting");
        }

        @Override
        public Result enterStandby() {
          invoked.add("standby");
          return new Result(true, "draining");
        }

        @Override
        public Result activate() {
          invoked.add("active");
          return new Result(false, "stopping");
        }
      };

  private Response respond(String text) {
    Request request = new Request();
    for (String line : text.split("~", -1)) {
      request.headLine(line);
    }
    return request.execute(0, operations, response -> {});
  }

  @ParameterizedTest
  @CsvSource({
    "GET /status HTTP/1.1~Host: x~, 503",
    "~GET /status?a=b HTTP/1.0~, 503",
    "PUT /standby HTTP/1.1~Host: x~content-length:  0 ~, 200",
    "PUT /active HTTP/1.1~, 409",
    "GET / HTTP/1.1~, 404",
    "GET /Status HTTP/1.1~, 404",
    "DELETE /status HTTP/1.1~, 405",
    "GET /standby HTTP/1.1~, 405",
    "GET /status~, 400",
    "GET  /status HTTP/1.1~, 400",
    "GET /status HTTP/2.0~, 400",
    "GET /status HTTP/1.1~Host x~, 400",
    "GET /status HTTP/1.1~ folded: x~, 400",
    "PUT /standby HTTP/1.1~Content-Length: -1~, 400",
    "PUT /standby HTTP/1.1~Content-Length: 1~Content-Length: 2~, 400",
    "PUT /standby HTTP/1.1~Content-Length: 2000~, 413",
    "PUT /standby HTTP/1.1~Transfer-Encoding: chunked~, 411"
  })
  void answersEachRequestWithItsStatus(String text, int status) {
    assertThat(respond(text).status()).isEqualTo(status);
    assertThat(invoked).hasSize(status == 200 || status == 409 || status == 503 ? 1 : 0);
  }

  @Test
  void namesTheAllowedMethodWhenItRejectsAnother() {
    assertThat(respond("POST /active HTTP/1.1~").lines()).contains("\r\nAllow: PUT\r\n");
  }

  @Test
  void executesNothingBeforeTheRequestIsComplete() {
    Request request = new Request();
    request.headLine("PUT /standby HTTP/1.1");
    request.headLine("Content-Length: 3");
    assertThat(request.execute(3, operations, response -> {}))
        .as("the head is incomplete")
        .isNull();
    request.headLine("");
    assertThat(request.execute(2, operations, response -> {})).as("a byte is missing").isNull();
    assertThat(invoked).isEmpty();
    assertThat(request.execute(3, operations, response -> {}).status()).isEqualTo(200);
  }

  @Test
  void rejectsAHeadThatDoesNotEnd() {
    Request request = new Request();
    request.headLine("GET /status HTTP/1.1");
    for (int i = 0; request.inHead(); i++) {
      assertThat(i).isLessThan(Request.MAX_HEAD_LINES);
      request.headLine("a: b");
    }
    assertThat(request.execute(0, operations, response -> {}).status()).isEqualTo(431);
  }

  @Test
  void contentLengthCountsTheTextWithItsLineEnd() {
    String lines = new Response(200, "active flows=0").lines() + "\r\n";
    int contentStart = lines.indexOf("\r\n\r\n") + 4;
    assertThat(lines).contains("\r\nContent-Length: " + (lines.length() - contentStart) + "\r\n");
  }

  /** The fleet has to permit the standby; the request is not answered before it has replied. */
  @Test
  void standbyIsAnsweredOnceTheFleetHasDecided() {
    List<Consumer<ManagementOperations.Result>> callbacks = new ArrayList<>();
    ManagementOperations fleet =
        new ManagementOperations() {
          @Override
          public Result status() {
            return new Result(true, "");
          }

          @Override
          public Result enterStandby() {
            throw new AssertionError("the fleet has to be asked first");
          }

          @Override
          public boolean requestStandby(Consumer<Result> callback) {
            callbacks.add(callback);
            return true;
          }

          @Override
          public Result activate() {
            return new Result(true, "");
          }
        };
    Request request = new Request();
    request.headLine("PUT /standby HTTP/1.1");
    request.headLine("");
    List<Response> responses = new ArrayList<>();
    assertThat(request.execute(0, fleet, responses::add)).isNull();
    assertThat(request.execute(0, fleet, responses::add)).as("further bytes arrived").isNull();
    assertThat(callbacks).hasSize(1);
    callbacks.get(0).accept(new ManagementOperations.Result(false, "put off: n3 leaves"));
    assertThat(responses).containsExactly(new Response(409, "put off: n3 leaves"));
  }
}
