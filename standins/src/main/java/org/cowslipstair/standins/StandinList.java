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

/** Reads which backend servers and gateways there are; ignores everything else in the files. */
final class StandinList {
  private static final TomlMapper MAPPER = new TomlMapper();
  private static final String BACKEND_TABLE = "backend_server";
  private static final String INSTANCE_TABLE = "instance";

  private StandinList() {}

  /** A backend server to stand in for. */
  record Backend(String name, int port, int slots) {}

  static List<Backend> backends(Path path) throws IOException, InvalidListException {
    List<Backend> backends = new ArrayList<>();
    for (Path file : filesOf(path)) {
      for (JsonNode table : read(file).path(BACKEND_TABLE)) {
        backends.add(backend(file, table));
      }
    }
    return backends;
  }

  private static Backend backend(Path file, JsonNode table) throws InvalidListException {
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

  static List<StoreInstance> instances(Path file) throws IOException, InvalidListException {
    List<StoreInstance> instances = new ArrayList<>();
    for (JsonNode table : read(file).path(INSTANCE_TABLE)) {
      instances.add(
          new StoreInstance(
              text(file, table, "name"),
              text(file, table, "zone"),
              text(file, table, "peer_address"),
              text(file, table, "admin_address"),
              table.path("leaving").asBoolean()));
    }
    return instances;
  }

  private static String text(Path file, JsonNode table, String field) throws InvalidListException {
    if (!table.path(field).isTextual()) {
      throw new InvalidListException(file, INSTANCE_TABLE, field);
    }
    return table.path(field).asText();
  }

  private static JsonNode read(Path file) throws IOException, InvalidListException {
    try {
      return MAPPER.readTree(Files.readString(file));
    } catch (JsonProcessingException e) {
      throw new InvalidListException(file, e);
    }
  }

  private static List<Path> filesOf(Path path) throws IOException {
    if (!Files.isDirectory(path)) {
      return List.of(path);
    }
    try (Stream<Path> entries = Files.list(path)) {
      return entries.filter(entry -> entry.toString().endsWith(".toml")).sorted().toList();
    }
  }
}
