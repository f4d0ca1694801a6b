package org.cowslipstair.cli;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.instanceOf;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

import java.util.List;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.Size;
import org.cowslipstair.model.config.ObjectKey;
import org.cowslipstair.model.config.ObjectKind;
import org.cowslipstair.model.config.StoredObject;
import org.cowslipstair.port.StoreException;

class ObjectStoreTest {
  private static final ObjectKey ZONE = new ObjectKey(ObjectKind.ZONE, "a");
  private static final String OURS = "{\"labels\":{\"state\":\"out\"}}";

  private static List<StoredObject> ourWrites(FaultyStore store) {
    return store.versions().stream().filter(object -> object.json().equals(OURS)).toList();
  }

  @Property(seed = "1", tries = 2_000)
  void writeTakesEffectAtMostOnceAndReportsItsOutcome(
      @ForAll @Size(max = 12) List<FaultyStore.Fault> script) throws InterruptedException {
    FaultyStore store = new FaultyStore(new StoredObject(ZONE, 1, "first", false, "{}"), script);
    try {
      long version = new ObjectStore(store, _ -> {}).put(ZONE, OURS, 1);

      assertThat(
          ourWrites(store).stream().map(StoredObject::version).toList(), is(List.of(version)));
    } catch (StoreException.Unavailable _) {
      assertThat(ourWrites(store).size(), is(0));
    } catch (StoreException.VersionConflict e) {
      assertThat(e.current().orElseThrow().changeId(), is("other"));
    } catch (StoreException e) {
      assertThat(e, is(instanceOf(StoreException.AnswerLost.class)));
    }
    assertThat(ourWrites(store).size(), is(lessThanOrEqualTo(1)));
  }
}
