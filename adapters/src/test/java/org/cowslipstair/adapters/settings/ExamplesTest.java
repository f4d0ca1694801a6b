package org.cowslipstair.adapters.settings;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import java.io.IOException;
import java.nio.file.Path;
import java.util.Optional;
import org.cowslipstair.logic.object.ReferenceCheck;
import org.cowslipstair.model.config.BackendServer;
import org.cowslipstair.model.config.ConfigSnapshot;
import org.cowslipstair.model.config.RoutingRule;
import org.cowslipstair.model.config.ServiceName;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class ExamplesTest {
  @ParameterizedTest
  @CsvSource({
    "kilele, watch, 14, 3",
    "kilele, ledger, 9, 3",
    "kilele, vault, 13, 3",
    "kantklos, catalogus, 13, 2",
    "kantklos, bestelling, 7, 2",
    "kantklos, patroonkist, 13, 2"
  })
  void exampleIsValidAndHasItsBackends(String example, String service, int backends, int slots)
      throws IOException, InvalidFileException {
    ObjectFiles files = ObjectFiles.read(Path.of("..", "examples", example));
    files.requireNone(ReferenceCheck.findErrors(files.objects()));
    ConfigSnapshot snapshot = ConfigSnapshot.of(1, files.objects());
    ServiceName name = new ServiceName(service);

    long poolMembers =
        snapshot.pools().stream()
            .filter(pool -> pool.service().equals(name))
            .flatMap(pool -> snapshot.members(pool).stream())
            .filter(backend -> hasSize(backend, slots))
            .count();

    assertThat(poolMembers, is((long) backends));
    assertThat(snapshot.zones().size(), is(3));
    assertThat(
        snapshot.route("any.example", "/" + service + "/x", "GET").map(RoutingRule::service),
        is(Optional.of(name)));
  }

  private static boolean hasSize(BackendServer backend, int slots) {
    return backend.slots() == slots && backend.maxConnections() == 260;
  }
}
