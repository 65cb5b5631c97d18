import { randomBytes } from 'node:crypto';
import { okAsync, ResultAsync } from 'neverthrow';
import type { Fault } from '../core/errors/fault.js';
import type { Identity } from '../core/membership/handshake.js';
import type { BackendServer } from '../core/model/configuration.js';
import { ContextHandles } from '../core/pipeline/context-handle.js';
import { accept } from '../core/pipeline/accept.js';
import { authenticate } from '../core/pipeline/authenticate.js';
import { refusal, type RawRequest } from '../core/pipeline/request-stages.js';
import { prepare, type EntryView } from '../core/pipeline/prepare.js';
import { reportViolations } from '../core/promises/report.js';
import { assertPromise, type Violation } from '../core/promises/violation.js';
import type { Clock } from '../core/model/time.js';
import type { Settings } from '../core/settings/settings.js';
import { CallSender } from './call-sender.js';
import { CallerListener, type RequestHandlers } from './caller-listener.js';
import { ConfigurationTask } from './configuration-task.js';
import { CrashTask } from './crash-task.js';
import { CreditTask } from './credit-task.js';
import { EntryTask, type EntryReply } from './entry-task.js';
import { GateTask } from './gate-task.js';
import { LinkTable } from './link-table.js';
import { listen } from './listen.js';
import { MembershipTask } from './membership-task.js';
import { Metrics } from './metrics.js';
import { createMetricsServer } from './metrics-listener.js';
import { OrderTask } from './order-task.js';
import { systemEnvironment, type LinkSocket, type Environment } from './environment.js';
import { PeerRouter } from './peer-router.js';
import { Placement } from './placement.js';
import { RootLimiter } from './root-limiter.js';
import { RunTask } from './run-task.js';
import { GossipTask } from './gossip-task.js';
import { drain } from './drain.js';
import { RequestIds } from './request-ids.js';
import type { TlsMaterial } from './tls-material.js';
import { watchPauses } from './watch-pauses.js';

/** Ports that the node listens on, for settings with port 0. */
export interface Ports {
  readonly caller: number;
  readonly peer: number;
  readonly metrics: number | null;
}

const CONTEXT_KEY_BYTES = 32;

/** Allowance for headers and envelope on top of the largest body in a frame between nodes. */
const FRAME_OVERHEAD_BYTES = 262_144;

/** One node of the fleet. Creates its tasks and passes messages between them. */
export class Node {
  readonly #settings: Settings;

  readonly #identity: Identity;

  readonly #environment: Environment;

  readonly #clock: Clock;

  readonly #metrics: Metrics;

  readonly #log;

  readonly #requestIds: RequestIds;

  readonly #contextHandles = new ContextHandles(randomBytes(CONTEXT_KEY_BYTES));

  readonly #rootLimiter: RootLimiter;

  readonly #links: LinkTable;

  readonly #membership: MembershipTask;

  readonly #gossip: GossipTask;

  readonly #credit: CreditTask;

  readonly #configuration: ConfigurationTask;

  readonly #crashes: CrashTask;

  readonly #runs: RunTask;

  readonly #callSender: CallSender;

  readonly #placement: Placement;

  readonly #orders: OrderTask;

  readonly #entry: EntryTask;

  readonly #router: PeerRouter;

  readonly #callerListener: CallerListener;

  readonly #metricsServer;

  readonly #pauseTimer: NodeJS.Timeout;

  /** Handlers that a front end passes requests to. */
  readonly requestHandlers: RequestHandlers = {
    newRequestId: () => this.#requestIds.next(),
    handle: (request) => this.#entry.handle(request),
    refuseTooLarge: (request) => this.#entry.refuse(request, refusal('requestTooLarge')),
    refuseMalformed: (request) => this.#entry.refuse(request, refusal('requestMalformed')),
    issueOrder: (request) => this.#issueOrderId(request),
    onAbandoned: (requestId) => this.#entry.cancel(requestId),
  };

  #isReady = false;

  #isStopping = false;

  /** Time at which the configuration service last answered. */
  #lastServiceReplyAt = Number.NEGATIVE_INFINITY;

  /**
   * @param settings - checked settings of the process
   * @param tls - PEM texts, or null without TLS
   * @param environment - clock, randomness, log, sockets and services outside the node's tasks
   */
  constructor(
    settings: Settings,
    tls: TlsMaterial | null,
    environment: Environment = systemEnvironment,
  ) {
    this.#settings = settings;
    this.#environment = environment;
    this.#clock = environment.clock;
    this.#metrics = new Metrics(environment.hasProcessMetrics);
    this.#rootLimiter = new RootLimiter(this.#clock);
    const { backendServer, zone, maxBodyBytes, peerSecret } = settings;
    this.#identity = { node: backendServer, zone, incarnation: environment.newIncarnation() };
    this.#log = environment.openLog(backendServer);
    this.#requestIds = new RequestIds(this.#identity);
    this.#links = new LinkTable({
      identity: this.#identity,
      secret: peerSecret,
      tls,
      maxFrameBytes: maxBodyBytes + FRAME_OVERHEAD_BYTES,
      openLink: environment.openLink,
      clock: this.#clock,
      countBytes: (direction, purpose, bytes) =>
        this.#metrics.peerBytes.inc({ direction, purpose }, bytes),
      heartbeat: () => this.#gossip.heartbeat,
      onEvent: (event) => this.#router.handleTableEvent(event),
    });
    this.#membership = this.#createMembership();
    this.#gossip = this.#createGossip();
    this.#credit = new CreditTask({
      identity: this.#identity,
      clock: this.#clock,
      report: this.#report,
      randomInteger: environment.randomInteger,
      send: this.#sendToPeer,
      requestLink: (peer) => this.#membership.send({ kind: 'link-requested', peer }),
    });
    this.#configuration = new ConfigurationTask({
      identity: this.#identity,
      membership: this.#membership,
      credit: this.#credit,
      createGate: (own) => this.#createGate(own),
    });
    this.#crashes = this.#createCrashes();
    this.#runs = new RunTask({
      clock: this.#clock,
      report: this.#report,
      cancelChild: (childId) => this.#entry.cancel(childId),
    });
    this.#callSender = new CallSender({
      node: backendServer,
      links: this.#links,
      membership: this.#membership,
      gate: () => this.#configuration.gate,
    });
    this.#placement = this.#createPlacement();
    this.#orders = this.#createOrders();
    this.#entry = this.#createEntry();
    this.#router = this.#createRouter();
    this.#callerListener = this.#createCallerListener(tls);
    this.#metricsServer = createMetricsServer(this.#metrics, () => this.#isReady);
    this.#pauseTimer = watchPauses(this.#clock, (lateMs) => {
      this.#credit.sendToQuotaServer({ kind: 'timer-late', lateMs });
    });
  }

  /**
   * Starts the listeners.
   *
   * @returns the ports in use, or a fault if an address cannot be bound
   */
  start(): ResultAsync<Ports, Fault> {
    const { callerAddress, peerAddress, metricsAddress } = this.#settings;
    const metrics: ResultAsync<number | null, Fault> =
      metricsAddress === null ? okAsync(null) : listen(this.#metricsServer, metricsAddress);
    return ResultAsync.combine([
      listen(this.#callerListener.server, callerAddress),
      listen(this.#links.server, peerAddress),
      metrics,
    ]).map(([caller, peer, metricsPort]) => {
      const details = { caller, peer, metrics: metricsPort ?? 'none' };
      this.#log.write({ kind: 'event', code: 'nodeStarted', details });
      return { caller, peer, metrics: metricsPort };
    });
  }

  /** @returns whether the node has a configuration and accepts requests */
  get isReady(): boolean {
    return this.#isReady;
  }

  /**
   * Accepts a connection that another node opened.
   *
   * @param socket - the connection
   */
  readonly acceptLink = (socket: LinkSocket): void => this.#links.accept(socket);

  /**
   * Stops gracefully: refuses new work, waits for open requests and calls to finish, returns
   * unspent credit and closes all connections.
   *
   * @returns whether all work finished before the stop deadline
   */
  async stop(): Promise<boolean> {
    const { stopDeadlineMs } = this.#settings;
    this.#isStopping = true;
    this.#configuration.stop();
    this.#links.broadcast({ kind: 'leaving', forMs: stopDeadlineMs });
    const isDrained = await drain({
      clock: this.#clock,
      deadlineMs: stopDeadlineMs,
      open: () =>
        this.#entry.openCount +
        (this.#configuration.gate?.pendingCount ?? 0) +
        this.#links.outstandingCount,
    });
    this.#credit.returnTokens();
    await this.#close(isDrained);
    return isDrained;
  }

  async #close(isDrained: boolean): Promise<void> {
    const detail = () => `${this.#entry.openCount} requests were still open at the stop deadline`;
    reportViolations(assertPromise('graceful-stop', isDrained, detail), this.#report);
    this.#log.write({
      kind: 'event',
      code: 'nodeStopped',
      details: { open: this.#entry.openCount },
    });
    clearInterval(this.#pauseTimer);
    [this.#membership, this.#gossip, this.#credit, this.#crashes, this.#orders].forEach((task) =>
      task.close(),
    );
    this.#rootLimiter.close();
    this.#callerListener.server.close();
    this.#callerListener.server.closeAllConnections();
    this.#metricsServer.close();
    this.#metricsServer.closeAllConnections();
    await this.#links.close();
    await this.#configuration.gate?.close(isDrained);
    this.#log.flush();
  }

  readonly #report = (violation: Violation): void => {
    this.#metrics.brokenPromises.inc({ promise: violation.promise });
    this.#log.write(violation);
  };

  /** @returns the dependencies that most tasks share */
  #commonOptions() {
    return { clock: this.#clock, log: this.#log, metrics: this.#metrics, report: this.#report };
  }

  readonly #sendToPeer: LinkTable['send'] = (...args) => this.#links.send(...args);

  #createMembership(): MembershipTask {
    return new MembershipTask({
      identity: this.#identity,
      seeds: this.#settings.seeds,
      clock: this.#clock,
      random: this.#environment.random,
      connect: (peer, address) => this.#links.connect(peer, address),
      disconnect: (peer) => this.#links.disconnect(peer),
      onNeighboursChanged: (neighbours) =>
        this.#gossip.send({ kind: 'neighbours-changed', neighbours }),
      onHostsChanged: (hosts) => this.#gossip.send({ kind: 'hosts-changed', hosts }),
    });
  }

  #createGossip(): GossipTask {
    return new GossipTask({
      identity: this.#identity,
      urls: this.#settings.configurationServiceUrls,
      openService: this.#environment.openService,
      ...this.#commonOptions(),
      random: this.#environment.random,
      send: this.#sendToPeer,
      check: (document) => this.#configuration.check(document),
      apply: (document) => this.#configuration.apply(document),
      onReady: () => {
        this.#isReady = true;
      },
      onServiceReply: () => this.#recordServiceReply(),
    });
  }

  #recordServiceReply(): void {
    this.#lastServiceReplyAt = this.#clock.now();
    this.#credit.sendToQuotaServer({ kind: 'service-answered' });
  }

  #createCrashes(): CrashTask {
    return new CrashTask({
      identity: this.#identity,
      clock: this.#clock,
      broadcast: (news) => this.#links.broadcast({ kind: 'marks', ...news }),
      onQuarantined: (fingerprint) =>
        this.#log.write({ kind: 'event', code: 'quarantined', details: { fingerprint } }),
    });
  }

  #createPlacement(): Placement {
    return new Placement({
      ...this.#commonOptions(),
      random: this.#environment.random,
      zone: this.#identity.zone,
      region: () => this.#membership.region,
      candidates: (service) => this.#membership.candidates(service),
      waitForCandidate: (timeoutMs) => this.#membership.waitForChange(timeoutMs),
      send: async (backendServer, call) =>
        this.#crashes.recordAttempt(call, await this.#callSender.send(backendServer, call)),
    });
  }

  #createOrders(): OrderTask {
    return new OrderTask({
      identity: this.#identity,
      secret: this.#settings.peerSecret,
      ...this.#commonOptions(),
      place: (call) => this.#placement.place(call),
      sendToHome: (home, call, orderId) => this.#callSender.sendOrder(home, call, orderId),
    });
  }

  #createEntry(): EntryTask {
    return new EntryTask({
      ...this.#commonOptions(),
      prepare: prepare(this.#entryView()),
      placement: this.#placement,
      orders: this.#orders,
      runs: this.#runs,
      onRootEnd: (call, placed) => this.#rootLimiter.recordResult(call, placed),
      cancelSend: (peer, sendId) => this.#callSender.cancel(peer, sendId),
    });
  }

  #createRouter(): PeerRouter {
    return new PeerRouter({
      identity: this.#identity,
      links: this.#links,
      membership: this.#membership,
      gossip: this.#gossip,
      credit: this.#credit,
      crashes: this.#crashes,
      orders: this.#orders,
      gate: () => this.#configuration.gate,
      ...this.#commonOptions(),
    });
  }

  #createCallerListener(tls: TlsMaterial | null): CallerListener {
    return new CallerListener({
      clock: this.#clock,
      tls,
      maxBodyBytes: this.#settings.maxBodyBytes,
      ...this.requestHandlers,
      isStopping: () => this.#isStopping,
      onConnectionsDropped: (details) =>
        this.#log.write({ kind: 'event', code: 'acceptsBehind', details }),
    });
  }

  #entryView(): EntryView {
    return {
      lookup: () => (this.#isReady ? this.#configuration.lookup : null),
      isIsolated: () => this.#isIsolated(),
      verifyContext: (token) => this.#contextHandles.verify(token),
      checkCrashes: (fingerprint) => this.#crashes.checkRequest(fingerprint),
      admitFraction: (route, caller) => this.#rootLimiter.admitFraction(route, caller),
      checkRepeat: (account, fingerprint) =>
        this.#rootLimiter.classifyRequest(account, fingerprint),
      spend: (requestId, account) => this.#credit.spend(requestId, account),
      inherit: (child) => this.#runs.startChild(child),
      report: this.#report,
    };
  }

  /** @returns whether a key may have been withdrawn without this node being able to find out */
  #isIsolated(): boolean {
    const { isolationLimitMs, staleLimitMs } = this.#settings;
    const hasService = this.#clock.now() - this.#lastServiceReplyAt < isolationLimitMs;
    if (!hasService && this.#membership.isIsolated(isolationLimitMs)) return true;
    return staleLimitMs > 0 && this.#gossip.heartbeat.serviceAgeMs > staleLimitMs;
  }

  #issueOrderId(request: RawRequest): EntryReply {
    return accept(request)
      .andThen(authenticate(this.#entryView()))
      .match(
        ({ origin }) => this.#entry.issueOrderId(request, origin),
        (refused) => this.#entry.refuse(request, refused),
      );
  }

  #createGate(backendServer: BackendServer): GateTask {
    return new GateTask({
      backendServer,
      url: this.#settings.backendServerUrl,
      maxBodyBytes: this.#settings.maxBodyBytes,
      environment: this.#environment,
      ...this.#commonOptions(),
      handles: this.#contextHandles,
      runs: this.#runs,
      isQuarantined: (fingerprint) => this.#crashes.isRefusedAtGate(fingerprint),
      isCrashSuspect: (fingerprint) => this.#crashes.hasCrashMark(fingerprint),
      onCrash: (crash, fingerprints) => this.#crashes.recordCrash(crash, fingerprints),
      onCompleted: (fingerprint) => this.#crashes.send({ kind: 'completed', fingerprint }),
    });
  }
}
