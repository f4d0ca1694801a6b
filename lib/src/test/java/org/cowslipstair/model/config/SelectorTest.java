package org.cowslipstair.model.config;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import java.util.List;
import java.util.Set;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.AlphaChars;
import net.jqwik.api.constraints.StringLength;
import org.junit.jupiter.api.Test;

class SelectorTest {
  @Test
  void selectorMatchesOnlyIfAllRequirementsAreMet() {
    Selector selector =
        new Selector(
            List.of(
                new Requirement.Equal("app", "watch"),
                new Requirement.In("size", Set.of("small", "large")),
                new Requirement.Absent("canary")));
    Labels labels = Labels.empty().with("app", "watch").with("size", "small");

    assertThat(selector.matches(labels), is(true));
    assertThat(selector.matches(labels.with("canary", "yes")), is(false));
    assertThat(selector.matches(labels.with("size", "medium")), is(false));
  }

  @Property(seed = "1")
  void eitherEqualOrNotEqualMatches(
      @ForAll @AlphaChars @StringLength(min = 1, max = 3) String expected,
      @ForAll @AlphaChars @StringLength(min = 1, max = 3) String actual) {
    Labels labels = Labels.empty().with("k", actual);

    boolean equal = new Requirement.Equal("k", expected).matches(labels);
    boolean notEqual = new Requirement.NotEqual("k", expected).matches(labels);

    assertThat(equal, is(!notEqual));
  }
}
