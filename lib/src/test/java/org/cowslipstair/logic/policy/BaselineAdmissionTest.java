package org.cowslipstair.logic.policy;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.not;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicReference;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.cowslipstair.logic.admission.Admission.AdmissionRequest;
import org.cowslipstair.logic.admission.NotAdmittedException;
import org.cowslipstair.logic.admission.Permit;
import org.cowslipstair.model.config.BackendName;
import org.cowslipstair.model.config.BackendServer;
import org.cowslipstair.model.config.ConfigObject;
import org.cowslipstair.model.config.ConfigSnapshot;
import org.cowslipstair.model.config.HostPort;
import org.cowslipstair.model.config.Labels;
import org.cowslipstair.model.config.PolicyKind;
import org.cowslipstair.model.config.Selector;
import org.cowslipstair.model.config.Service;
import org.cowslipstair.model.config.ServiceName;
import org.cowslipstair.model.config.Zone;
import org.cowslipstair.model.config.ZoneName;
import org.cowslipstair.model.pool.CallReport;
import org.cowslipstair.port.BackendProbe.Health;
import org.cowslipstair.port.BackendProbe.ProbeReport;
import org.junit.jupiter.api.Test;

class BaselineAdmissionTest {
  private static final ServiceName WATCH = new ServiceName("watch");
  private final AtomicReference<ConfigSnapshot> snapshot =
      new AtomicReference<>(snapshot(4, Labels.empty()));

  private BaselineAdmission admission(BackendPicker picker) {
    Random random = new Random(7);
    return new BaselineAdmission(picker, snapshot::get, () -> random, () -> 0, _ -> {});
  }

  private static ConfigSnapshot snapshot(int backends, Labels zoneLabels) {
    List<ConfigObject> objects = new ArrayList<>();
    ZoneName zone = new ZoneName("a");
    objects.add(new Zone(zone, zoneLabels));
    for (int i = 0; i < backends; i++) {
      objects.add(
          new BackendServer(
              name(i), Labels.empty(), zone, new HostPort("127.0.0.1", 1000 + i), 3, 260));
    }
    objects.add(
        new Service(
            WATCH,
            Labels.empty(),
            Selector.everything(),
            Selector.everything(),
            PolicyKind.RANDOM,
            1000,
            1,
            false));
    return ConfigSnapshot.of(1, objects);
  }

  private static BackendName name(int number) {
    return new BackendName("b" + number);
  }

  private static AdmissionRequest request(BackendName... excluded) {
    return new AdmissionRequest(WATCH, 1_000_000, false, Set.of(excluded));
  }

  @Test
  void leastInFlightPicksTheIdleBackend() throws NotAdmittedException {
    snapshot.set(snapshot(2, Labels.empty()));
    BaselineAdmission admission = admission(new BackendPicker.LeastInFlight(16));
    Permit first = admission.admit(request());

    Permit second = admission.admit(request());

    assertThat(second.backend().name(), not(first.backend().name()));
    first.release(CallReport.unused());
    assertThat(admission.admit(request()).backend().name(), is(first.backend().name()));
  }

  @Test
  void roundRobinPicksEveryBackendInTurn() throws NotAdmittedException {
    BaselineAdmission admission = admission(new BackendPicker.RoundRobin(new AtomicInteger()));
    for (int i = 0; i < 8; i++) {
      assertThat(admission.admit(request()).backend().name(), is(name(i % 4)));
    }
  }

  @Property(seed = "11")
  void excludedBackendIsNeverPicked(@ForAll @IntRange(min = 0, max = 3) int excluded)
      throws NotAdmittedException {
    BaselineAdmission admission = admission(new BackendPicker.Random());
    for (int i = 0; i < 20; i++) {
      Permit permit = admission.admit(request(name(excluded)));
      assertThat(permit.backend().name(), not(name(excluded)));
    }
  }

  @Test
  void permitForbidsCallsOnceItsZoneIsOut() throws NotAdmittedException {
    Permit permit = admission(new BackendPicker.Random()).admit(request());
    assertThat(permit.canStartCall(), is(true));

    snapshot.set(snapshot(4, Labels.empty().with(Labels.STATE, Labels.STATE_OUT)));

    assertThat(permit.canStartCall(), is(false));
  }

  @Test
  void probingPicksTheLowestLatencyAmongBackendsThatAreNotHot() {
    ProbeResults results = new ProbeResults();
    List<BackendServer> candidates = snapshot.get().candidates(WATCH);
    results.add(name(0), new ProbeReport(Health.WARM, 1, 3, 9_000), 0);
    results.add(name(1), new ProbeReport(Health.WARM, 2, 3, 5_000), 0);
    results.add(name(2), new ProbeReport(Health.WARM, 9, 3, 1_000), 0);

    assertThat(results.pickBest(candidates, 1).orElseThrow().name(), is(name(1)));
  }

  @Test
  void probeResultsExpire() {
    ProbeResults results = new ProbeResults();
    results.add(name(0), new ProbeReport(Health.WARM, 1, 3, 9_000), 0);

    assertThat(
        results.pickBest(snapshot.get().candidates(WATCH), 2_000_000_000L).isPresent(), is(false));
  }
}
