package org.cowslipstair.experiments.demo;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import java.io.IOException;
import java.util.concurrent.TimeoutException;
import org.cowslipstair.adapters.settings.InvalidFileException;
import org.cowslipstair.experiments.TrialCommand;
import org.cowslipstair.experiments.TrialException;
import org.cowslipstair.experiments.fleet.Deployment;
import org.cowslipstair.experiments.fleet.TrialFleet;
import org.cowslipstair.port.StoreException;
import org.cowslipstair.standins.backend.ServiceTime;

/** Runs a small fleet under load through the events that operators fear. */
@Parameters(commandDescription = "run a fleet with stand-ins through outages, under a minute")
public final class DemoCommand extends TrialCommand {
  private static final long SEED = 20_261_204L;

  @Parameter(names = "--deployment", description = "example to run: kilele or kantklos")
  private String deployment = "kilele";

  @Parameter(names = "--gateways", description = "number of gateways")
  private int gateways = 6;

  @Parameter(names = "--utilization", description = "share of the slots that is busy, 0 to 1")
  private double utilization = 0.4;

  @Override
  public boolean run() throws TrialException, InterruptedException {
    ServiceTime serviceTime = ServiceTime.exponential(Demo.SERVICE_TIME_US);
    try (TrialFleet fleet =
        TrialFleet.start(Deployment.example(deployment), gateways, serviceTime, SEED)) {
      return new Demo(fleet, utilization, SEED).run();
    } catch (IOException | InvalidFileException | StoreException | TimeoutException e) {
      throw new TrialException("demo", e);
    }
  }
}
