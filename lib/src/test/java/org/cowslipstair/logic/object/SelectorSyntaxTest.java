package org.cowslipstair.logic.object;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.util.List;
import java.util.Set;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.Combinators;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import org.cowslipstair.model.config.Requirement;
import org.cowslipstair.model.config.Selector;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class SelectorSyntaxTest {
  @Test
  void allKindsOfRequirementsAreParsed() throws InvalidSelectorException {
    String text = "app=watch, tier in (gold, silver),zone not in(a), size != big, owner, !canary";

    assertThat(
        SelectorSyntax.parse(text).requirements(),
        is(
            List.of(
                new Requirement.Equal("app", "watch"),
                new Requirement.In("tier", Set.of("gold", "silver")),
                new Requirement.NotIn("zone", Set.of("a")),
                new Requirement.NotEqual("size", "big"),
                new Requirement.Present("owner"),
                new Requirement.Absent("canary"))));
  }

  @ParameterizedTest
  @CsvSource(
      delimiter = '|',
      value = {
        "app = | 6",
        "app = watch tier | 13",
        "app in gold | 8",
        "app in (gold | 13",
        "app in () | 9",
        "app not gold | 9",
        ", app | 1",
        "app, | 5",
        "a-/- = x | 1",
        "app = a/b | 7"
      })
  void errorContainsTheColumn(String text, int column) {
    InvalidSelectorException error =
        assertThrows(InvalidSelectorException.class, () -> SelectorSyntax.parse(text));

    assertThat(text, error.column(), is(column));
  }

  @Property(seed = "1")
  void formattedSelectorIsEqualWhenParsedAgain(@ForAll("selectors") Selector selector)
      throws InvalidSelectorException {
    assertThat(SelectorSyntax.parse(SelectorSyntax.format(selector)), is(selector));
  }

  @Provide
  static Arbitrary<Selector> selectors() {
    Arbitrary<String> words =
        Arbitraries.oneOf(
            Arbitraries.strings().withCharRange('a', 'z').ofMinLength(1).ofMaxLength(4),
            Arbitraries.of("in", "not", "a.b", "x_1", "UP-9"));
    Arbitrary<Set<String>> sets = words.set().ofMinSize(1).ofMaxSize(3);
    Arbitrary<Requirement> requirements =
        Arbitraries.oneOf(
            List.of(
                Combinators.combine(words, words).as(Requirement.Equal::new),
                Combinators.combine(words, words).as(Requirement.NotEqual::new),
                Combinators.combine(words, sets).as(Requirement.In::new),
                Combinators.combine(words, sets).as(Requirement.NotIn::new),
                words.map(Requirement.Present::new),
                words.map(Requirement.Absent::new)));
    return requirements.list().ofMaxSize(5).map(Selector::new);
  }
}
