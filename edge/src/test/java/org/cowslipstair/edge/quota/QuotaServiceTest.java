package org.cowslipstair.edge.quota;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.allOf;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.lessThan;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.nio.NioIoHandler;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.reactivex.rxjava3.core.Completable;
import io.reactivex.rxjava3.core.Single;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.cowslipstair.edge.FrontSettings;
import org.cowslipstair.edge.GatewayComponents;
import org.cowslipstair.edge.ProtocolHeaders;
import org.cowslipstair.edge.peer.PeerFrames;
import org.cowslipstair.edge.peer.PeerNetwork;
import org.cowslipstair.logic.invariant.InvariantMonitor;
import org.cowslipstair.logic.quota.QuotaCoordinator;
import org.cowslipstair.model.config.HostPort;
import org.cowslipstair.model.config.ZoneName;
import org.cowslipstair.model.rollout.RolloutOrder;
import org.cowslipstair.model.rollout.RolloutStatus;
import org.cowslipstair.model.tenant.KeyDigest;
import org.cowslipstair.model.tenant.Quota;
import org.cowslipstair.model.tenant.QuotaPolicy;
import org.cowslipstair.model.tenant.Tenant;
import org.cowslipstair.model.tenant.TenantName;
import org.cowslipstair.model.traffic.CallerBounds;
import org.cowslipstair.model.traffic.GatewayEntry;
import org.cowslipstair.model.traffic.TrafficPlan;
import org.cowslipstair.port.MonotonicClock;
import org.cowslipstair.port.ObjectFeed;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Renewals of loans to an issuer on a socket. */
@Timeout(30)
final class QuotaServiceTest {
  private static final QuotaPolicy POLICY = new QuotaPolicy(5_000, 0.1, 20);
  private static final long OBSERVED_MS = 2_000;

  /** Ten renewals, each with a release, and what follows from their replies. */
  private static final int MAX_REQUESTS = 60;

  private static final ProtocolHeaders HEADERS =
      new ProtocolHeaders("a", "b", "c", "d", "e", "f", "g", "h", "i", "j", "k");

  private static final TrafficPlan PLAN =
      new TrafficPlan(
          1,
          CallerBounds.defaults(),
          List.of(),
          List.of(),
          List.of(
              new Tenant(
                  new TenantName("t"),
                  Set.of(KeyDigest.of("k")),
                  Optional.of(new Quota(5, 2)),
                  OptionalInt.empty())));

  private final MultiThreadIoEventLoopGroup group =
      new MultiThreadIoEventLoopGroup(2, NioIoHandler.newFactory());
  private final AtomicInteger requests = new AtomicInteger();

  /** An issuer whose process is another one at each request. */
  private final class RestartingIssuer extends SimpleChannelInboundHandler<ByteBuf> {
    @Override
    protected void channelRead0(ChannelHandlerContext context, ByteBuf frame) throws IOException {
      byte[] bytes = ByteBufUtil.getBytes(frame);
      if (QuotaCodec.isQuotaMessage(bytes)
          && QuotaCodec.decode(bytes) instanceof QuotaMessage.Request request) {
        long process = requests.incrementAndGet();
        QuotaCoordinator.Reply reply =
            new QuotaCoordinator.Reply(process, System.nanoTime(), Optional.empty());
        byte[] encoded = QuotaCodec.encode(new QuotaMessage.Reply(request.id(), reply));
        context.writeAndFlush(Unpooled.wrappedBuffer(encoded));
      }
    }
  }

  @AfterEach
  void stop() {
    group.shutdownGracefully(0, 1, TimeUnit.SECONDS);
  }

  private static FrontSettings settings() {
    HostPort address = new HostPort("127.0.0.1", 0);
    return new FrontSettings(
        "self",
        new ZoneName("z"),
        address,
        address,
        new FrontSettings.Relay(address, List.of(), false),
        0,
        0,
        1,
        0,
        new FrontSettings.FleetLimits(1, 1_000, 1 << 20, 20),
        new FrontSettings.FleetPolicies(Optional.of(POLICY), Optional.empty()));
  }

  /** A store that a quota does not need. */
  private static final class UnusedFeed implements ObjectFeed {
    @Override
    public Single<Page> list(Collection collection, Optional<String> after, Freshness freshness) {
      return Single.never();
    }

    @Override
    public Single<Changes> watch(Collection collection, long revision, long waitMs) {
      return Single.never();
    }

    @Override
    public Single<Item> recordStatus(RolloutOrder order, RolloutStatus status) {
      return Single.never();
    }

    @Override
    public Completable announce(GatewayEntry gateway) {
      return Completable.never();
    }
  }

  private HostPort openIssuer() throws InterruptedException {
    Channel channel =
        new ServerBootstrap()
            .group(group)
            .channel(NioServerSocketChannel.class)
            .childHandler(
                new ChannelInitializer<SocketChannel>() {
                  @Override
                  protected void initChannel(SocketChannel opened) {
                    opened
                        .pipeline()
                        .addLast(
                            PeerFrames.decoder(PeerFrames.MAX_REQUEST_BYTES),
                            PeerFrames.encoder(),
                            new RestartingIssuer());
                  }
                })
            .bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0))
            .sync()
            .channel();
    return new HostPort("127.0.0.1", ((InetSocketAddress) channel.localAddress()).getPort());
  }

  @Test
  void issuerWhoseProcessChangesIsNotAskedWithoutPause() throws InterruptedException {
    HostPort issuer = openIssuer();
    EventLoop loop = group.next();
    MonotonicClock clock = MonotonicClock.system();
    PeerNetwork network = new PeerNetwork(loop, clock, _ -> Optional.of(issuer));
    InvariantMonitor monitor = new InvariantMonitor(_ -> {});
    // Among many names, another one than this gateway's is the first in the ranking.
    List<String> fleet = List.of("self", "g1", "g2", "g3", "g4", "g5", "g6", "g7", "g8", "g9");
    QuotaService service =
        QuotaService.create(
            settings(),
            new GatewayComponents(loop, clock, new Random(1), new UnusedFeed(), HEADERS, monitor),
            new QuotaLimits(() -> Optional.of(POLICY), () -> Optional.of(PLAN)),
            () -> fleet,
            network);
    loop.execute(service::onConfiguration);
    TimeUnit.MILLISECONDS.sleep(OBSERVED_MS);
    assertThat(requests.get(), allOf(greaterThan(2), lessThan(MAX_REQUESTS)));
  }
}
