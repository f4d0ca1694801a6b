package org.cowslipstair.standins.backend;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.closeTo;
import static org.hamcrest.Matchers.is;

import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

class NoiseScheduleTest {
  private static final int SAMPLES = 200_000;
  private static final long MEAN_US = 20_000;

  @Test
  void shareOfNoisyTimeMatchesSettings() {
    NoiseSchedule schedule = new NoiseSchedule(new SplittableRandom(1));
    Noise noise = new Noise(400, 60, 3);
    int noisySamples = 0;
    for (int ms = 0; ms < SAMPLES * 10; ms += 10) {
      double factor = schedule.factorAt(noise, TimeUnit.MILLISECONDS.toNanos(ms));
      noisySamples += factor > 1 ? 1 : 0;
    }

    assertThat((double) noisySamples / SAMPLES, is(closeTo(60.0 / 400, 0.01)));
  }

  @ParameterizedTest
  @EnumSource(ServiceTime.Shape.class)
  void serviceTimesHaveConfiguredMean(ServiceTime.Shape shape) {
    ServiceTime time = new ServiceTime(shape, MEAN_US, 0.5);
    SplittableRandom random = new SplittableRandom(1);
    double sumUs = 0;
    for (int i = 0; i < SAMPLES; i++) {
      sumUs += time.sampleNs(random) / 1_000.0;
    }

    assertThat(sumUs / SAMPLES, is(closeTo(MEAN_US, MEAN_US * 0.01)));
  }
}
