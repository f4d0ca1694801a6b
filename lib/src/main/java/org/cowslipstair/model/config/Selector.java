package org.cowslipstair.model.config;

import java.util.List;

/** Selects objects by their labels; an object must meet all requirements. */
public record Selector(List<Requirement> requirements) {
  private static final Selector EVERYTHING = new Selector(List.of());

  /** Copies the requirements. */
  public Selector {
    requirements = List.copyOf(requirements);
  }

  /** Returns the selector that matches every object. */
  public static Selector everything() {
    return EVERYTHING;
  }

  /** Returns whether the labels meet all requirements. */
  public boolean matches(Labels labels) {
    for (Requirement requirement : requirements) {
      if (!requirement.matches(labels)) {
        return false;
      }
    }
    return true;
  }
}
