package org.cowslipstair.cli;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.is;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import org.cowslipstair.adapters.platform.HttpPlatformStore;
import org.cowslipstair.model.config.HostPort;
import org.cowslipstair.model.config.Labels;
import org.cowslipstair.model.config.ObjectKey;
import org.cowslipstair.model.config.ObjectKind;
import org.cowslipstair.standins.store.StoreServer;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

class LabelWriterTest {
  private static final ObjectKey ZONE = new ObjectKey(ObjectKind.ZONE, "a");
  private static final int OPERATORS = 8;

  private static Labels labels(String... keysAndValues) {
    Labels labels = Labels.empty();
    for (int i = 0; i < keysAndValues.length; i += 2) {
      labels = labels.with(keysAndValues[i], keysAndValues[i + 1]);
    }
    return labels;
  }

  @Test
  void conflictReportsBothValues() {
    LabelEdit edit = new LabelEdit(Map.of("state", Optional.of("out")));

    assertThat(
        edit.findConflict(labels("state", "a"), labels("state", "b")),
        is(Optional.of(new LabelEdit.Conflict("state", Optional.of("b"), Optional.of("out")))));
    assertThat(edit.findConflict(labels(), labels("state", "out")), is(Optional.empty()));
    assertThat(edit.findConflict(labels(), labels("tier", "gold")), is(Optional.empty()));
  }

  @Property(seed = "1")
  void reappliedEditPreservesOtherLabelsAndDetectsConflicts(
      @ForAll("values") Map<String, String> base,
      @ForAll("values") Map<String, String> concurrent,
      @ForAll("edits") Map<String, Optional<String>> desired) {
    LabelEdit edit = new LabelEdit(desired);
    Labels current = new Labels(concurrent);
    Labels result = edit.applyTo(current);

    boolean isSameKeyChanged = false;
    for (String key : desired.keySet()) {
      Optional<String> now = current.get(key);
      boolean changed = !now.equals(new Labels(base).get(key)) && !now.equals(desired.get(key));
      isSameKeyChanged |= changed;
      assertThat(result.get(key), is(desired.get(key)));
    }
    for (String key : List.of("a", "b", "c")) {
      if (!desired.containsKey(key)) {
        assertThat(result.get(key), is(current.get(key)));
      }
    }
    assertThat(edit.findConflict(new Labels(base), current).isPresent(), is(isSameKeyChanged));
  }

  @Provide
  static Arbitrary<Map<String, String>> values() {
    return Arbitraries.maps(Arbitraries.of("a", "b", "c"), Arbitraries.of("1", "2"));
  }

  @Provide
  static Arbitrary<Map<String, Optional<String>>> edits() {
    Arbitrary<Optional<String>> value =
        Arbitraries.of(Optional.empty(), Optional.of("1"), Optional.of("2"));
    return Arbitraries.maps(Arbitraries.of("a", "b", "c"), value).ofMinSize(1);
  }

  @Test
  @Timeout(60)
  void concurrentChangesOfDifferentLabelsAllSucceed() throws Exception {
    try (StoreServer server = StoreServer.start(0);
        HttpPlatformStore store =
            new HttpPlatformStore(List.of(new HostPort("127.0.0.1", server.port())));
        ExecutorService operators = Executors.newVirtualThreadPerTaskExecutor()) {
      server.write("zone", "a", "{\"labels\":{}}");
      List<Future<?>> changes = new ArrayList<>();
      for (int i = 0; i < OPERATORS; i++) {
        LabelEdit edit = LabelEdit.parse(List.of("operator-" + i + "=done"));
        changes.add(
            operators.submit(() -> new LabelWriter(new ObjectStore(store)).change(ZONE, edit)));
      }
      for (Future<?> change : changes) {
        change.get();
      }
      assertThat(
          server.read("zone", "a").orElseThrow().body().path("labels").size(), is(OPERATORS));
    }
  }

  @Test
  @Timeout(60)
  void concurrentChangeOfTheSameLabelIsRejectedWithBothValues() throws Exception {
    try (StoreServer server = StoreServer.start(0);
        HttpPlatformStore store =
            new HttpPlatformStore(List.of(new HostPort("127.0.0.1", server.port())))) {
      server.write("zone", "a", "{\"labels\":{}}");
      RacingStore racing =
          new RacingStore(
              store, () -> server.write("zone", "a", "{\"labels\":{\"state\":\"blue\"}}"));
      LabelEdit edit = LabelEdit.parse(List.of("state=out"));

      CliException.LabelConflict conflict =
          assertThrows(
              CliException.LabelConflict.class,
              () -> new LabelWriter(new ObjectStore(racing)).change(ZONE, edit));

      String expected = "was concurrently changed to \"blue\"; your value is \"out\"";
      assertThat(conflict.getMessage(), containsString(expected));
      assertThat(conflict.exitCode(), is(ExitCode.CONFLICT));
    }
  }
}
