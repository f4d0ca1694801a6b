package org.cowslipstair.standins;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.dataformat.toml.TomlMapper;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.stream.Stream;
import org.cowslipstair.standins.store.StoreInstance;

/** Reads the backend servers and gateway instances from TOML files; ignores all other tables. */
final class StandinList {
  private static final TomlMapper MAPPER = new TomlMapper();
  private static final String BACKEND_TABLE = "backend_server";
  private static final String INSTANCE_TABLE = "instance";

  private StandinList() {}

  /** A backend server to replace by a stand-in. */
  record Backend(String name, int port, int slots) {}

  static List<Backend> readBackends(Path path) throws IOException, InvalidListException {
    List<Backend> backends = new ArrayList<>();
    for (Path file : tomlFiles(path)) {
      for (JsonNode table : parseFile(file).path(BACKEND_TABLE)) {
        backends.add(parseBackend(file, table));
      }
    }
    return backends;
  }

  private static Backend parseBackend(Path file, JsonNode table) throws InvalidListException {
    String address = table.path("address").asText();
    int port;
    try {
      port = Integer.parseInt(address.substring(address.lastIndexOf(':') + 1));
    } catch (NumberFormatException _) {
      throw new InvalidListException(file, BACKEND_TABLE, "address = \"host:port\"");
    }
    int slots = table.path("slots").asInt();
    if (!table.path("name").isTextual() || slots <= 0) {
      throw new InvalidListException(file, BACKEND_TABLE, "name and slots");
    }
    return new Backend(table.path("name").asText(), port, slots);
  }

  static List<StoreInstance> readInstances(Path file) throws IOException, InvalidListException {
    List<StoreInstance> instances = new ArrayList<>();
    for (JsonNode table : parseFile(file).path(INSTANCE_TABLE)) {
      instances.add(
          new StoreInstance(
              requiredText(file, table, "name"),
              requiredText(file, table, "zone"),
              requiredText(file, table, "peer_address"),
              requiredText(file, table, "admin_address"),
              table.path("leaving").asBoolean()));
    }
    return instances;
  }

  private static String requiredText(Path file, JsonNode table, String field)
      throws InvalidListException {
    if (!table.path(field).isTextual()) {
      throw new InvalidListException(file, INSTANCE_TABLE, field);
    }
    return table.path(field).asText();
  }

  private static JsonNode parseFile(Path file) throws IOException, InvalidListException {
    try {
      return MAPPER.readTree(Files.readString(file));
    } catch (JsonProcessingException e) {
      throw new InvalidListException(file, e);
    }
  }

  private static List<Path> tomlFiles(Path path) throws IOException {
    if (!Files.isDirectory(path)) {
      return List.of(path);
    }
    try (Stream<Path> entries = Files.list(path)) {
      return entries.filter(entry -> entry.toString().endsWith(".toml")).sorted().toList();
    }
  }
}
