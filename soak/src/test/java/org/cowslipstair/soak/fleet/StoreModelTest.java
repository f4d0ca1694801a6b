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

  private StoreModel.Found watch(long after) throws InterruptedException {
    return model.watch("k", after, 0);
  }

  @Test
  void watchTellsChangesAfterARevision() throws InterruptedException {
    long first = put("a");
    put("b");
    model.delete("k", "a");
    StoreModel.Found.Changes found = (StoreModel.Found.Changes) watch(first);
    assertThat(found.events().size(), is(2));
    assertThat(found.events().getLast().deleted(), is(true));
    assertThat(found.revision(), is(model.revision()));
    assertThat(model.list("k").size(), is(1));
  }

  @Test
  void forgottenHistoryIsGone() throws InterruptedException {
    long first = put("a");
    put("b");
    model.forgetHistory();
    assertThat(watch(first), instanceOf(StoreModel.Found.Gone.class));
    assertThat(watch(model.revision()), instanceOf(StoreModel.Found.Changes.class));
  }
}
