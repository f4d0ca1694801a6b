package org.cowslipstair.standins;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.is;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import org.cowslipstair.standins.store.StoreInstance;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

class StandinListTest {
  @TempDir private Path directory;

  private Path file(String name, String text) throws IOException {
    return Files.writeString(directory.resolve(name), text);
  }

  @Test
  void readsBackendsOfAllFilesOfADirectory() throws Exception {
    file("a.toml", "[[zone]]\nname=\"z\"\n");
    file("b.toml", "[[backend_server]]\nname=\"w\"\naddress=\"127.0.0.1:20101\"\nslots=3\n");
    file("notes.txt", "not TOML");

    assertThat(StandinList.backends(directory), contains(new StandinList.Backend("w", 20_101, 3)));
  }

  @Test
  void faultyListsAreRefused() throws IOException {
    Path syntax = file("syntax.toml", "a = = 1");
    Path address = file("address.toml", "[[backend_server]]\nname=\"w\"\nslots=3\n");
    Path zone = file("zone.toml", "[[instance]]\nname=\"gw-1\"\n");

    assertThrows(InvalidListException.class, () -> StandinList.backends(syntax));
    assertThrows(InvalidListException.class, () -> StandinList.backends(address));
    assertThrows(InvalidListException.class, () -> StandinList.instances(zone));
  }

  @Test
  void readsTheInstancesOfTheLocalTrial() throws Exception {
    Path local = Path.of("..", "examples", "local", "instances.toml");

    assertThat(
        StandinList.instances(local).getFirst(),
        is(new StoreInstance("gw-a", "tz-north-a", "127.0.0.1:7520", "127.0.0.1:7530", false)));
  }
}
