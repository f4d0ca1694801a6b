package org.cowslipstair.logic.object;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.containsInAnyOrder;
import static org.hamcrest.Matchers.is;
import static org.junit.jupiter.api.Assertions.assertThrows;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.Combinators;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import org.cowslipstair.model.config.BackendName;
import org.cowslipstair.model.config.BackendServer;
import org.cowslipstair.model.config.ConfigObject;
import org.cowslipstair.model.config.HostPort;
import org.cowslipstair.model.config.Labels;
import org.cowslipstair.model.config.ObjectKey;
import org.cowslipstair.model.config.ObjectKind;
import org.cowslipstair.model.config.PolicyKind;
import org.cowslipstair.model.config.RoutingRule;
import org.cowslipstair.model.config.RuleName;
import org.cowslipstair.model.config.Selector;
import org.cowslipstair.model.config.Service;
import org.cowslipstair.model.config.ServiceName;
import org.cowslipstair.model.config.Zone;
import org.cowslipstair.model.config.ZoneName;
import org.junit.jupiter.api.Test;

class ObjectJsonTest {
  private static final List<String> STRANGE_VALUES =
      List.of(
          "null",
          "true",
          "0",
          "-1",
          "0.5",
          "1e400",
          "9223372036854775808",
          "\"\"",
          "\"a b\"",
          "\"a\\r\\nb\"",
          "[]",
          "[null]",
          "{}",
          "{\"a\":null}");
  private static final ObjectKey SERVICE_KEY = new ObjectKey(ObjectKind.SERVICE, "watch");
  private static final ObjectKey BACKEND_KEY = new ObjectKey(ObjectKind.BACKEND_SERVER, "watch-1");

  private static List<FieldError> errors(ObjectKey key, String json) {
    return assertThrows(InvalidFieldsException.class, () -> ObjectJson.read(key, json)).errors();
  }

  @Test
  void allErrorsOfAnObjectAreReported() {
    String json =
        """
        {"labels": {"app": 1, "-": "x"}, "zone": "A b", "address": "nowhere", "slots": 0,
         "max_connections": "many", "slot": 3}
        """;

    assertThat(
        errors(BACKEND_KEY, json).stream().map(error -> error.path() + " " + error.kind()).toList(),
        containsInAnyOrder(
            "labels.app WRONG_TYPE",
            "labels.- NOT_ACCEPTED",
            "zone NOT_ACCEPTED",
            "address NOT_ACCEPTED",
            "slots NOT_ACCEPTED",
            "max_connections WRONG_TYPE",
            "slot UNKNOWN_FIELD"));
  }

  @Test
  void errorMessageStatesAcceptedValues() {
    assertThat(
        errors(SERVICE_KEY, "{\"backends\": \"app = watch\", \"timeout_ms\": -1}").stream()
            .map(FieldError::toString)
            .toList(),
        contains("timeout_ms \"-1\" is not accepted; accepted: an integer from 1 to 3600000"));
  }

  @Test
  void textThatIsNotOneJsonObjectIsRejected() {
    for (String json : List.of("", "[]", "3", "{\"labels\": {}", "{} {}", "{\"a\":1,\"a\":2}")) {
      assertThat(json, errors(SERVICE_KEY, json).isEmpty(), is(false));
    }
  }

  @Property(seed = "2829", tries = 4_000)
  void objectWithAStrangeValueIsReadOrItsFieldsAreNamed(
      @ForAll("objects") ConfigObject object, @ForAll long seed) throws JsonProcessingException {
    Random random = new Random(seed);
    ObjectNode body = (ObjectNode) new ObjectMapper().readTree(ObjectJson.write(object));
    List<String> names = new ArrayList<>();
    body.fieldNames().forEachRemaining(names::add);
    String name = names.get(random.nextInt(names.size()));
    String strange = STRANGE_VALUES.get(random.nextInt(STRANGE_VALUES.size()));
    body.set(name, new ObjectMapper().readTree(strange));
    try {
      assertThat(ObjectJson.read(object.key(), body.toString()).key(), is(object.key()));
    } catch (InvalidFieldsException e) {
      assertThat(e.errors().isEmpty(), is(false));
    }
  }

  @Property(seed = "1")
  void writtenObjectIsEqualWhenReadAgain(@ForAll("objects") ConfigObject object)
      throws InvalidFieldsException {
    assertThat(ObjectJson.read(object.key(), ObjectJson.write(object)), is(object));
  }

  @Provide
  static Arbitrary<ConfigObject> objects() {
    Arbitrary<String> names =
        Arbitraries.strings().withCharRange('a', 'z').numeric().ofMinLength(1).ofMaxLength(6);
    Arbitrary<Labels> labels =
        Arbitraries.maps(names, names).ofMaxSize(3).map(values -> new Labels(Map.copyOf(values)));
    Arbitrary<Selector> selectors = SelectorSyntaxTest.selectors();
    Arbitrary<Integer> numbers = Arbitraries.integers().between(1, 1_000);
    Arbitrary<Boolean> flags = Arbitraries.of(true, false);
    return Arbitraries.oneOf(
        Combinators.combine(names, labels)
            .as((name, values) -> new Zone(new ZoneName(name), values)),
        Combinators.combine(names, labels, names, numbers)
            .as(
                (name, values, zone, number) ->
                    new BackendServer(
                        new BackendName(name),
                        values,
                        new ZoneName(zone),
                        new HostPort("10.0.0.1", number),
                        number,
                        number + 1)),
        Combinators.combine(names, labels, selectors, selectors, numbers, flags)
            .as(
                (name, values, backends, zones, number, flag) ->
                    new Service(
                        new ServiceName(name),
                        values,
                        backends,
                        zones,
                        PolicyKind.values()[number % PolicyKind.values().length],
                        number,
                        number / 8.0,
                        flag)),
        Combinators.combine(names, labels, numbers, flags, names)
            .as(
                (name, values, number, flag, service) ->
                    new RoutingRule(
                        new RuleName(name),
                        values,
                        number,
                        flag ? Optional.of(name + ".example") : Optional.empty(),
                        "/" + name,
                        flag ? Set.of("GET", "POST") : Set.of(),
                        new ServiceName(service),
                        number % 3 == 0 ? Optional.empty() : Optional.of(flag),
                        flag)));
  }
}
