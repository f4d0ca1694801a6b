package org.cowslipstair.edge.quarantine;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.is;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.cowslipstair.edge.Mutations;
import org.cowslipstair.logic.invariant.InvariantMonitor;
import org.cowslipstair.logic.invariant.Violation;
import org.cowslipstair.logic.quarantine.QuarantineMessage;
import org.cowslipstair.logic.quarantine.QuarantineTable;
import org.cowslipstair.logic.quarantine.SuspectRequest;
import org.cowslipstair.model.config.BackendName;
import org.cowslipstair.model.traffic.BackendProcess;
import org.cowslipstair.model.traffic.RequestFingerprint;

/** Malformed messages about suspected requests, and what becomes of those that can be read. */
final class MalformedSuspectsTest {
  private static final long NOW_NS = 50_000_000_000L;
  private static final long NS_PER_S = 1_000_000_000L;
  private static final RequestFingerprint FIRST = fingerprint("/first");
  private static final RequestFingerprint SECOND = fingerprint("/second");

  private static RequestFingerprint fingerprint(String target) {
    return new RequestFingerprint.Head("", "GET", "a.example", target).with(List.of());
  }

  private static QuarantineTable emptyTable(List<Violation> violations) {
    return new QuarantineTable("g", new InvariantMonitor(violations::add));
  }

  private static QuarantineTable table(List<Violation> violations) {
    QuarantineTable table = emptyTable(violations);
    for (int i = 0; i < 3; i++) {
      BackendProcess process = new BackendProcess(new BackendName("b-" + i), i);
      table.recordCrash(FIRST, process, NOW_NS - i * NS_PER_S);
      table.recordCrash(SECOND, process, NOW_NS - i * NS_PER_S);
    }
    return table;
  }

  @Property(seed = "2821", tries = 8_000)
  void whatIsReadOfAMalformedMessageCanBeUsed(@ForAll long seed) throws IOException {
    Random random = new Random(seed);
    List<Violation> violations = new ArrayList<>();
    QuarantineTable sender = table(violations);
    QuarantineTable table = random.nextBoolean() ? table(violations) : emptyTable(violations);
    byte[] bytes =
        QuarantineCodec.encode(
            new QuarantineMessage.Suspects(List.copyOf(sender.suspects())), NOW_NS);
    try {
      QuarantineMessage message = QuarantineCodec.decode(Mutations.mutate(bytes, random), NOW_NS);
      if (message instanceof QuarantineMessage.Suspects(var suspects)) {
        suspects.forEach(suspect -> table.merge(suspect, NOW_NS));
      }
    } catch (MalformedQuarantineMessageException expected) {
      return;
    }
    use(table);
    assertThat(violations, empty());
  }

  private static void use(QuarantineTable table) {
    for (long nowNs = NOW_NS; nowNs < NOW_NS + 400 * NS_PER_S; nowNs += 20 * NS_PER_S) {
      for (SuspectRequest suspect : table.suspects()) {
        RequestFingerprint fingerprint = suspect.fingerprint();
        table.onArrival(fingerprint, nowNs);
        if (table.tryStartTrial(fingerprint, List.of("g"), nowNs).isPresent()) {
          table.recordSend(fingerprint, nowNs);
        }
      }
      table.digest();
    }
    table.recordCleared(FIRST, NOW_NS + 400 * NS_PER_S);
    table.removeExpired(NOW_NS + 8_000 * NS_PER_S);
    assertThat("forgotten", table.isEmpty(), is(true));
  }
}
