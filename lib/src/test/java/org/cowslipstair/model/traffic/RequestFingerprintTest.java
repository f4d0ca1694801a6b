package org.cowslipstair.model.traffic;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.not;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.List;
import org.junit.jupiter.api.Test;

final class RequestFingerprintTest {
  private static ByteBuffer bytes(String text) {
    return ByteBuffer.wrap(text.getBytes(StandardCharsets.US_ASCII));
  }

  private static RequestFingerprint fingerprint(String caller, String target, ByteBuffer... body) {
    return RequestFingerprint.of(caller, "POST", "a.example", target, List.of(body));
  }

  @Test
  void bodyCountsHoweverItIsSplit() {
    ByteBuffer whole = bytes("abcdef");
    RequestFingerprint expected = fingerprint("c", "/x", whole);
    assertThat(fingerprint("c", "/x", bytes("abc"), bytes("def")), is(expected));
    assertThat(fingerprint("c", "/x", whole), is(expected));
    assertThat(fingerprint("c", "/x", bytes("abcdeF")), is(not(expected)));
  }

  @Test
  void partsCannotBeShiftedIntoEachOther() {
    RequestFingerprint expected = fingerprint("c1", "/x", bytes("b"));
    assertThat(fingerprint("c", "1/x", bytes("b")), is(not(expected)));
    assertThat(fingerprint("c1", "/xb"), is(not(expected)));
  }

  @Test
  void everyPartOfTheRequestCounts() {
    RequestFingerprint expected = fingerprint("c", "/x?a=1");
    assertThat(fingerprint("d", "/x?a=1"), is(not(expected)));
    assertThat(fingerprint("c", "/x?a=2"), is(not(expected)));
    assertThat(
        RequestFingerprint.of("c", "GET", "a.example", "/x?a=1", List.of()), is(not(expected)));
    assertThat(
        RequestFingerprint.of("c", "POST", "b.example", "/x?a=1", List.of()), is(not(expected)));
    assertThat(RequestFingerprint.of("c", "POST", "A.Example", "/x?a=1", List.of()), is(expected));
  }
}
