package org.cowslipstair.adapters.http;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.equalTo;
import static org.hamcrest.Matchers.is;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.Combinators;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import org.cowslipstair.model.call.HeaderField;

final class HeaderRulesTest {
  private static final Set<String> HOP_BY_HOP =
      Set.of("connection", "keep-alive", "te", "upgrade", "transfer-encoding");

  @Provide
  Arbitrary<List<HeaderField>> fields() {
    Arbitrary<HeaderField> plain =
        Combinators.combine(
                Arbitraries.of("Host", "Accept", "X-A", "x-b", "TE", "Keep-Alive", "UPGRADE"),
                Arbitraries.of("1", "2", ""))
            .as(HeaderField::new);
    Arbitrary<HeaderField> connection =
        Arbitraries.of("x-A", "X-B , close", "host", "content-length,,X-a")
            .map(value -> new HeaderField("cOnnection", value));
    return Arbitraries.oneOf(plain, plain, plain, connection).list().ofMaxSize(8);
  }

  /** Restates the rule field by field: kept are those that no Connection names, in their order. */
  @Property(seed = "11")
  void keepsExactlyTheEndToEndFieldsInOrder(@ForAll("fields") List<HeaderField> fields) {
    List<HeaderField> expected = new ArrayList<>();
    for (HeaderField field : fields) {
      String name = field.name().toLowerCase();
      boolean named = false;
      for (HeaderField other : fields) {
        boolean isConnection = other.name().equalsIgnoreCase("Connection");
        named |=
            isConnection
                && ("," + other.value().toLowerCase().replace(" ", "") + ",")
                    .contains("," + name + ",");
      }
      if (!HOP_BY_HOP.contains(name) && (!named || name.equals("host"))) {
        expected.add(field);
      }
    }
    assertThat(HeaderRules.endToEnd(fields), equalTo(expected));
  }

  /** Bytes survive the way through a library that reads Latin-1 and one that writes UTF-8. */
  @Property(seed = "12")
  void textKeepsItsBytes(@ForAll String text) {
    byte[] bytes = text.getBytes(StandardCharsets.UTF_8);
    String asLatin1 = new String(bytes, StandardCharsets.ISO_8859_1);
    Optional<String> utf8 = HeaderRules.utf8FromLatin1(asLatin1);
    assertThat(utf8.map(t -> t.getBytes(StandardCharsets.UTF_8)).orElseThrow(), is(bytes));
    assertThat(HeaderRules.latin1FromUtf8(utf8.orElseThrow()), is(asLatin1));
  }
}
