package org.cowslipstair.soak.fleet;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.instanceOf;
import static org.hamcrest.Matchers.is;

import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import org.junit.jupiter.api.Test;

final class StoreModelTest {
  private final StoreModel model = new StoreModel();

  private long put(String name) {
    return model.put("k", name, JsonNodeFactory.instance.objectNode());
  }

  private StoreModel.WatchResult watch(long afterRevision) throws InterruptedException {
    return model.watch("k", afterRevision, 0);
  }

  @Test
  void watchReturnsChangesAfterRevision() throws InterruptedException {
    long first = put("a");
    put("b");
    model.delete("k", "a");
    StoreModel.WatchResult.Changes changes = (StoreModel.WatchResult.Changes) watch(first);
    assertThat(changes.events().size(), is(2));
    assertThat(changes.events().getLast().deleted(), is(true));
    assertThat(changes.revision(), is(model.revision()));
    assertThat(model.list("k").size(), is(1));
  }

  @Test
  void returnToACopyLosesLaterWritesAndGivesRevisionsOutAgain() throws InterruptedException {
    put("a");
    StoreModel.Copy copy = model.copy();
    long lostRevision = put("b");
    model.returnTo(copy);
    assertThat(model.list("k").size(), is(1));
    assertThat(model.epoch(), is(2L));
    assertThat(watch(lostRevision), instanceOf(StoreModel.WatchResult.HistoryGone.class));
    assertThat(put("c"), is(lostRevision));
  }

  @Test
  void watchBeforeForgottenHistoryReportsHistoryGone() throws InterruptedException {
    long first = put("a");
    put("b");
    model.forgetHistory();
    assertThat(watch(first), instanceOf(StoreModel.WatchResult.HistoryGone.class));
    assertThat(watch(model.revision()), instanceOf(StoreModel.WatchResult.Changes.class));
  }
}
