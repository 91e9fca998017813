package brassbank.management;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class RequestTest {
  private final List<String> asked = new ArrayList<>();

  private final Operators operators =
      new Operators() {
        @Override
        public Answer status() {
          asked.add("status");
          return new Answer(false, "starting");
        }

        @Override
        public Answer standby() {
          asked.add("standby");
          return new Answer(true, "draining");
        }

        @Override
        public Answer active() {
          asked.add("active");
          return new Answer(false, "stopping");
        }
      };

  private Reply reply(String text) {
    Request request = new Request();
    for (String line : text.split("~", -1)) {
      request.line(line);
    }
    return request.reply(0, operators, later -> {});
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
  void eachCallHasItsAnswer(String text, int status) {
    assertThat(reply(text).status()).isEqualTo(status);
    assertThat(asked).hasSize(status == 200 || status == 409 || status == 503 ? 1 : 0);
  }

  @Test
  void anotherMethodIsToldWhichOneIsAllowed() {
    assertThat(reply("POST /active HTTP/1.1~").lines()).contains("\r\nAllow: PUT\r\n");
  }

  @Test
  void nothingIsDoneBeforeTheCallIsWhole() {
    Request request = new Request();
    request.line("PUT /standby HTTP/1.1");
    request.line("Content-Length: 3");
    assertThat(request.reply(3, operators, later -> {})).as("the head has not ended").isNull();
    request.line("");
    assertThat(request.reply(2, operators, later -> {})).as("a byte is missing").isNull();
    assertThat(asked).isEmpty();
    assertThat(request.reply(3, operators, later -> {}).status()).isEqualTo(200);
  }

  @Test
  void aHeadWithoutEndIsTooLong() {
    Request request = new Request();
    request.line("GET /status HTTP/1.1");
    for (int i = 0; request.inHead(); i++) {
      assertThat(i).isLessThan(Request.MOST_LINES);
      request.line("a: b");
    }
    assertThat(request.reply(0, operators, later -> {}).status()).isEqualTo(431);
  }

  @Test
  void theLengthOfTheAnswerIsRight() {
    String lines = new Reply(200, "active flows=0").lines() + "\r\n";
    int content = lines.indexOf("\r\n\r\n") + 4;
    assertThat(lines).contains("\r\nContent-Length: " + (lines.length() - content) + "\r\n");
  }

  /** A fleet is asked first: nothing is answered until it has said something. */
  @Test
  void standbyIsAnsweredOnceTheOthersHaveSaidWhetherItMay() {
    List<Consumer<Operators.Answer>> asked = new ArrayList<>();
    Operators fleet =
        new Operators() {
          @Override
          public Answer status() {
            return new Answer(true, "");
          }

          @Override
          public Answer standby() {
            throw new AssertionError("the others are asked first");
          }

          @Override
          public boolean standby(Consumer<Answer> then) {
            asked.add(then);
            return true;
          }

          @Override
          public Answer active() {
            return new Answer(true, "");
          }
        };
    Request request = new Request();
    request.line("PUT /standby HTTP/1.1");
    request.line("");
    List<Reply> later = new ArrayList<>();
    assertThat(request.reply(0, fleet, later::add)).isNull();
    assertThat(request.reply(0, fleet, later::add)).as("more bytes have come").isNull();
    assertThat(asked).hasSize(1);
    asked.get(0).accept(new Operators.Answer(false, "put off: n3 leaves"));
    assertThat(later).containsExactly(new Reply(409, "put off: n3 leaves"));
  }
}
