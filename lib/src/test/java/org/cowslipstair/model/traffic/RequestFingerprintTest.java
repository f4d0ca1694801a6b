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

  private static RequestFingerprint.Head head(
      String credentials, String method, String host, String target) {
    return new RequestFingerprint.Head(credentials, method, host, target);
  }

  private static RequestFingerprint fingerprint(
      String credentials, String target, ByteBuffer... body) {
    return head(credentials, "POST", "a.example", target).with(List.of(body));
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
    assertThat(head("c", "GET", "a.example", "/x?a=1").with(List.of()), is(not(expected)));
    assertThat(head("c", "POST", "b.example", "/x?a=1").with(List.of()), is(not(expected)));
    assertThat(head("c", "POST", "A.Example", "/x?a=1").with(List.of()), is(expected));
  }

  @Test
  void headDigitsAreThoseOfTheFingerprint() {
    RequestFingerprint.Head head = head("c", "POST", "a.example", "/x");
    assertThat(head.with(List.of(bytes("one"))).headDigits(), is(head.digits()));
    assertThat(head.with(List.of(bytes("two"))).headDigits(), is(head.digits()));
  }
}
