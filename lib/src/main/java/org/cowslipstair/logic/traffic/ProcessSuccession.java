package org.cowslipstair.logic.traffic;

import java.util.HashMap;
import java.util.Map;
import org.cowslipstair.model.config.BackendName;
import org.cowslipstair.model.traffic.BackendInstance;
import org.cowslipstair.port.ObjectFeed.Content;
import org.cowslipstair.port.ObjectFeed.Item;

/**
 * Tells a backend server that has started again with an earlier start time, because its clock was
 * ahead before, from a late write of the process before it. Both appear as a report with an earlier
 * start time at a later revision. Not thread-safe.
 */
final class ProcessSuccession {
  private final Map<BackendName, BackendInstance> rivals = new HashMap<>();

  /** Returns what remains of an object after an older one has been written later. */
  Item resolveReplay(Item previous, Item replayed) {
    // Revisions from before the store came back from a copy are forgotten.
    boolean isLaterWrite = previous.revision() > 0;
    if (isLaterWrite
        && previous.content() instanceof Content.Backend(BackendInstance known)
        && replayed.content() instanceof Content.Backend(BackendInstance reported)
        && !known.process().equals(reported.process())) {
      Content resolved = new Content.Backend(resolve(known, reported));
      return new Item(replayed.name(), replayed.revision(), resolved);
    }
    return new Item(previous.name(), replayed.revision(), previous.content());
  }

  /**
   * Returns what to believe of a backend server after a later write told an earlier start time. A
   * second, newer report of the same process shows that it is running, since a late write comes
   * once; so does another address, where the process that was known gets no work. Until then the
   * server is trusted no more than either report allows.
   */
  private BackendInstance resolve(BackendInstance known, BackendInstance reported) {
    BackendInstance rival = rivals.put(reported.name(), reported);
    boolean isRunning =
        !reported.address().equals(known.address())
            || rival != null
                && rival.isSameProcess(reported)
                && rival.sequence() < reported.sequence();
    if (isRunning) {
      rivals.remove(reported.name());
      return reported;
    }
    return known.restrictedBy(reported);
  }

  /** Forgets what was reported beside the process that is known, since that one has reported. */
  void confirm(BackendName name) {
    rivals.remove(name);
  }
}
