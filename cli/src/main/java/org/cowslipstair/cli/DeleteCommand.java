package org.cowslipstair.cli;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.ParametersDelegate;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.cowslipstair.logic.object.ReferenceCheck;
import org.cowslipstair.model.config.ConfigObject;
import org.cowslipstair.model.config.ObjectKey;
import org.cowslipstair.model.config.StoredObject;
import org.cowslipstair.port.StoreException;

/** Deletes one object, provided that no other object references it. */
final class DeleteCommand implements Command {
  @ParametersDelegate private final CommonOptions common = new CommonOptions();

  @Parameter(description = "KIND NAME", required = true)
  private List<String> arguments = new ArrayList<>();

  @Override
  public String summary() {
    return "delete an object: delete KIND NAME";
  }

  @Override
  public CommonOptions common() {
    return common;
  }

  @Override
  public void run(Session session) throws CliException, InterruptedException {
    Arguments.requireCount(arguments, 2, "KIND NAME");
    ObjectKey key = ObjectArguments.parseKey(arguments.getFirst(), arguments.getLast());
    ObjectStore objects = session.objects();
    StoredObject stored = objects.get(key);
    requireUnreferenced(key, ObjectStore.validObjects(objects.list()));
    try {
      objects.delete(key, stored.version());
    } catch (StoreException e) {
      throw CliException.from(e);
    }
    session.printer().line("%s deleted".formatted(key));
    session.awaitInForce(objects.list().revision());
  }

  private static void requireUnreferenced(ObjectKey key, List<ConfigObject> objects)
      throws CliException {
    Set<ObjectKey> alreadyInvalid = ReferenceCheck.findErrors(objects).keySet();
    List<ConfigObject> remaining =
        objects.stream().filter(object -> !object.key().equals(key)).toList();
    Set<ObjectKey> newlyInvalid = new HashSet<>(ReferenceCheck.findErrors(remaining).keySet());
    newlyInvalid.removeAll(alreadyInvalid);
    if (!newlyInvalid.isEmpty()) {
      throw new CliException.StillReferenced(key, newlyInvalid.stream().sorted().toList());
    }
  }
}
