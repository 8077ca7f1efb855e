/**
 * Rolls out versions with known faults on a deployment of real processes, under open-loop traffic
 * from seeded callers, and reports the answers that callers got.
 */

import * as timers from 'node:timers/promises';
import * as randoms from '../common/random.js';
import * as harness from '../harness/index.js';
import type * as behaviours from '../upstream/behaviour.js';

export const GOOD_KINDS = ['good', 'coldStart', 'sharedFault', 'badHost', 'shedsLoad'] as const;
export const BAD_KINDS = [
  'failsAtOnce',
  'failsLater',
  'failsUnderLoad',
  'failsOnOneRoute',
  'slow',
] as const;
export type VersionKind = (typeof GOOD_KINDS)[number] | (typeof BAD_KINDS)[number];
export type Balance = 'timely' | 'even' | 'careful';

export interface ScenarioOptions {
  layout: harness.layouts.Layout;
  /** Service that is rolled out; its entry in the layout sets the slots of its servers. */
  service: string;
  seed: number;
  requestsPerSecond: number;
  /** Number of servers of the target version; 3 by default. */
  targetServers?: number;
}

export interface RolloutPlan {
  balance: Balance;
  deadlineMs: number;
  soakMs: number;
}

/** Answer to one request, as its caller saw it. */
export interface Answer {
  sentMs: number;
  /** Null when no answer came. */
  status: number | null;
  version: string | null;
}

/** Fields of `GET /v1/rollouts/{id}` that the scenario reads. */
export interface RolloutView {
  id: string;
  ticket: number;
  phase: string;
  sharePct: number;
  reason: string;
  summary: string;
  history: { atMs: number; phase: string; sharePct: number }[];
}

export const STABLE_VERSION = 'v1';
export const TARGET_VERSION = 'v2';
const ROUTES = ['browse', 'proof'];
const SERVICE_TIME_MS = 10;
const REQUEST_TIMEOUT_MS = 5_000;
const SLOW_VERSION_LATENCY_MS = 60;
const COLD_START_MS = 3_000;
const NAIVE_STEPS = [5, 25, 50, 100];
const NAIVE_CHECK_INTERVAL_MS = 250;
const NAIVE_WINDOW_MS = 30_000;
const NAIVE_MIN_REQUESTS = 20;
const NAIVE_MAX_ERROR_RATE = 0.05;

const FAULT_RULES: Readonly<Partial<Record<VersionKind, behaviours.Rule[]>>> = {
  failsAtOnce: [{ errorRate: 1 }],
  failsLater: [{ afterMs: 2_000, errorRate: 0.9 }],
  failsUnderLoad: [{ aboveInFlight: 1, errorRate: 0.9 }],
  failsOnOneRoute: [{ pathPrefix: '/proof', errorRate: 0.95 }],
  slow: [{ addedLatencyMs: SLOW_VERSION_LATENCY_MS }],
  shedsLoad: [{ errorRate: 0.3, errorStatus: 503 }],
  badHost: [{ errorRate: 0.8 }],
  sharedFault: [{ errorRate: 0.5 }],
};

export function isBad(kind: VersionKind): boolean {
  return (BAD_KINDS as readonly VersionKind[]).includes(kind);
}

/**
 * Whether a caller was harmed by a bad version: any answer of a slow version, or a server error
 * other than 503, which signals load shedding.
 */
export function isHarmful(kind: VersionKind, { status, version }: Answer): boolean {
  if (version !== TARGET_VERSION || !isBad(kind)) return false;
  return kind === 'slow' || (status !== null && status >= 500 && status !== 503);
}

/** Sends requests at a fixed rate, independent of the answers, until it is stopped. */
export class Traffic {
  readonly answers: Answer[] = [];

  private readonly stopping = new AbortController();

  private readonly running: Promise<void>;

  constructor(
    private readonly requestsPerSecond: number,
    private readonly url: () => string,
  ) {
    this.running = this.run();
  }

  async stop(): Promise<void> {
    this.stopping.abort();
    await this.running;
  }

  /** True when no request sent within `ms` was answered by the target, and some were answered. */
  hasNoTargetAnswers(ms: number): boolean {
    const recent = this.answers.filter(({ sentMs }) => sentMs > Date.now() - ms);
    const answered = recent.filter(({ version }) => version !== null);
    return answered.length > 0 && answered.every(({ version }) => version !== TARGET_VERSION);
  }

  private async run(): Promise<void> {
    const startMs = performance.now();
    const pending = new Set<Promise<void>>();
    for (let sent = 0; !this.stopping.signal.aborted;) {
      const due = ((performance.now() - startMs) * this.requestsPerSecond) / 1_000;
      for (; sent < due; sent++) {
        const request = this.send().finally(() => pending.delete(request));
        pending.add(request);
      }
      await timers.setTimeout(5);
    }
    await Promise.all(pending);
  }

  private async send(): Promise<void> {
    const sentMs = Date.now();
    try {
      const res = await fetch(this.url(), { signal: AbortSignal.timeout(REQUEST_TIMEOUT_MS) });
      await res.arrayBuffer();
      const version = res.headers.get('x-upstream-version');
      this.answers.push({ sentMs, status: res.status, version });
    } catch {
      this.answers.push({ sentMs, status: null, version: null });
    }
  }
}

export async function setRules(
  servers: readonly harness.deployment.Server[],
  rules: behaviours.Rule[],
): Promise<void> {
  await Promise.all(
    servers.map(async ({ name, upstreamControl }) => {
      // A control call may fail on a busy machine; setting the same rules again is harmless.
      const trySet = () => upstreamControl.change({ rules }).then(() => true);
      await harness.wait.waitFor(`rules of ${name}`, () => trySet().catch(() => false));
    }),
  );
}

/** Enables the fault of a version kind on the servers that it affects. */
export async function injectFault(
  kind: VersionKind,
  servers: readonly harness.deployment.Server[],
): Promise<void> {
  const targets = servers.filter(({ version }) => version === TARGET_VERSION);
  const affected = { sharedFault: servers, badHost: targets.slice(0, 1) };
  const chosen = kind === 'sharedFault' || kind === 'badHost' ? affected[kind] : targets;
  await setRules(chosen, FAULT_RULES[kind] ?? []);
}

/** Baseline on real processes, without nodes: a fixed schedule and a fixed error threshold. */
export class NaiveScenario {
  private sharePct = 0;

  private constructor(
    private readonly deployment: harness.deployment.Deployment,
    private readonly options: ScenarioOptions,
    private readonly random: randoms.Random,
  ) {}

  static async create(options: ScenarioOptions): Promise<NaiveScenario> {
    const { service, targetServers = 3 } = options;
    const services = [{ name: service, servers: targetServers, slots: 12 }];
    const deployment = await harness.deployment.createDeployment({
      layout: { ...options.layout, services },
      nodeMain: null,
      upstreamArgs: ['--service-time-ms', String(SERVICE_TIME_MS)],
    });
    const [{ name: region }] = options.layout.regions;
    for (let n = 0; n < targetServers; n++) {
      const place = { region, failureDomain: 'a', version: TARGET_VERSION };
      await deployment.addServer({ name: `${service}-target-${n}`, service, ...place });
    }
    return new NaiveScenario(deployment, options, new randoms.Random(options.seed));
  }

  close(): Promise<void> {
    return this.deployment.close();
  }

  /** Rolls out one version; its fault ends after `faultMs`, or lasts when that is null. */
  async rollOut(
    kind: VersionKind,
    plan: RolloutPlan,
    faultMs: number | null,
  ): Promise<NaiveOutcome> {
    const startMs = Date.now();
    const stepMs = (plan.deadlineMs * 0.8) / (NAIVE_STEPS.length - 1);
    await injectFault(kind, this.deployment.servers);
    const traffic = new Traffic(this.options.requestsPerSecond, () => this.url());
    let takenBack = false;
    let atMs = 0;
    while (!takenBack && atMs < plan.deadlineMs * 0.8 + plan.soakMs) {
      atMs = Date.now() - startMs;
      if (faultMs !== null && atMs > faultMs) await setRules(this.deployment.servers, []);
      this.sharePct = NAIVE_STEPS[Math.min(NAIVE_STEPS.length - 1, Math.floor(atMs / stepMs))] ?? 0;
      await timers.setTimeout(NAIVE_CHECK_INTERVAL_MS);
      takenBack = exceedsThreshold(traffic.answers);
    }
    if (takenBack) this.sharePct = 0;
    await timers.setTimeout(NAIVE_CHECK_INTERVAL_MS);
    await traffic.stop();
    await setRules(this.deployment.servers, []);
    this.sharePct = 0;
    return { takenBack, answers: traffic.answers };
  }

  private url(): string {
    const version = this.random.next() * 100 < this.sharePct ? TARGET_VERSION : STABLE_VERSION;
    const servers = this.deployment.select({ version });
    const server = servers[Math.floor(this.random.next() * servers.length)];
    const route = ROUTES[Math.floor(this.random.next() * ROUTES.length)];
    return `${server?.upstreamUrl}/${route}/1`;
  }
}

export interface NaiveOutcome {
  takenBack: boolean;
  answers: readonly Answer[];
}

function exceedsThreshold(answers: readonly Answer[]): boolean {
  const fromMs = Date.now() - NAIVE_WINDOW_MS;
  const recent = answers.filter(
    ({ sentMs, version }) => sentMs > fromMs && version === TARGET_VERSION,
  );
  const errors = recent.filter(({ status }) => status !== null && status >= 500 && status !== 503);
  return (
    recent.length >= NAIVE_MIN_REQUESTS && errors.length > NAIVE_MAX_ERROR_RATE * recent.length
  );
}

export class RolloutScenario {
  private lastTicket = 100;

  private readonly random: randoms.Random;

  private constructor(
    readonly deployment: harness.deployment.Deployment,
    private readonly options: ScenarioOptions,
  ) {
    this.random = new randoms.Random(options.seed);
  }

  /** Starts a deployment with servers of both versions and files the first configuration. */
  static async create(options: ScenarioOptions): Promise<RolloutScenario> {
    const { layout, service, targetServers = 3 } = options;
    const upstreamArgs = ['--service-time-ms', String(SERVICE_TIME_MS)];
    const deployment = await harness.deployment.createDeployment({ layout, upstreamArgs });
    const scenario = new RolloutScenario(deployment, options);
    try {
      for (let n = 0; n < targetServers; n++) await scenario.addTarget(`${service}-target-${n}`);
      const routes = ROUTES.map((name) => ({
        kind: 'route',
        name,
        spec: { service, match: { pathPrefix: `/${name}` }, semantics: 'safe' },
      }));
      await scenario.fileTicket([{ kind: 'service', name: service, spec: {} }, ...routes]);
      await scenario.fileTicket([scenario.createVersionPlan({ stable: STABLE_VERSION })]);
      return scenario;
    } catch (err) {
      await deployment.close();
      throw err;
    }
  }

  close(): Promise<void> {
    return this.deployment.close();
  }

  get targets(): harness.deployment.Server[] {
    return this.deployment.select({ version: TARGET_VERSION });
  }

  /** Starts requests to random nodes, spread over the routes. */
  startTraffic(): Traffic {
    return new Traffic(this.options.requestsPerSecond, () => {
      const { servers } = this.deployment;
      const server = servers[Math.floor(this.random.next() * servers.length)];
      const route = ROUTES[Math.floor(this.random.next() * ROUTES.length)];
      return `${server?.callerUrl}/${route}/1`;
    });
  }

  /** Starts one more server of the target version. */
  addTarget(name: string, upstreamArgs: string[] = []): Promise<harness.deployment.Server> {
    const { layout, service } = this.options;
    const index = this.targets.length;
    const region = layout.regions[index % 2] ?? layout.regions[0];
    const [failureDomain = ''] = region.failureDomains;
    const slots = layout.services.find((one) => one.name === service)?.slots;
    const place = { region: region.name, failureDomain, slots };
    return this.deployment.addServer({
      name,
      service,
      version: TARGET_VERSION,
      ...place,
      upstreamArgs,
    });
  }

  /** Files a plan from the stable to the target version; returns the id of the rollout. */
  async startRollout(plan: RolloutPlan): Promise<string> {
    const deadline = new Date(Date.now() + plan.deadlineMs).toISOString();
    const soak = `${plan.soakMs}ms`;
    const spec = {
      stable: STABLE_VERSION,
      target: TARGET_VERSION,
      deadline,
      soak,
      balance: plan.balance,
    };
    await this.fileTicket([this.createVersionPlan(spec)]);
    return `${this.options.service}.${this.lastTicket}`;
  }

  /** Clears the faults of all upstreams. */
  clearFaults(): Promise<void> {
    return setRules(this.deployment.servers, []);
  }

  /** Clears all faults and files a plan that returns all traffic to the stable version. */
  async reset(): Promise<void> {
    await this.clearFaults();
    await this.fileTicket([this.createVersionPlan({ stable: STABLE_VERSION })]);
  }

  /** Enables the fault of a version kind. */
  injectFault(kind: VersionKind): Promise<void> {
    return injectFault(kind, this.deployment.servers);
  }

  /** Starts a target server that is still in its cold start when the rollout begins. */
  async addColdTarget(name: string): Promise<void> {
    await this.addTarget(name, ['--cold-start-ms', String(COLD_START_MS)]);
  }

  /** Rollout as reported by the first node that answers and knows it. */
  async fetchRollout(id: string): Promise<RolloutView | null> {
    for (const { admin, node } of this.deployment.servers) {
      if (node?.isRunning !== true) continue;
      const documents = await admin.rollouts().catch(() => null);
      const found = (documents as RolloutView[] | null)?.find((one) => one.id === id);
      if (found !== undefined) return found;
    }
    return null;
  }

  /** Waits until the rollout is in one of the phases. */
  async waitForPhase(id: string, phases: string[], timeoutMs: number): Promise<RolloutView> {
    let last: RolloutView | null = null;
    await harness.wait
      .waitFor(
        `${id} is ${phases.join(' or ')}`,
        async () => {
          last = await this.fetchRollout(id);
          return last !== null && phases.includes(last.phase);
        },
        timeoutMs,
      )
      .catch((err: unknown) => {
        throw new Error(`${String(err)}; last seen: ${JSON.stringify(last)}`);
      });
    if (last === null) throw new Error(`no node reported rollout ${id}`);
    return last;
  }

  private createVersionPlan(spec: object) {
    return { kind: 'versionPlan', name: this.options.service, spec };
  }

  private async fileTicket(
    resources: { kind: string; name: string; spec: unknown }[],
  ): Promise<void> {
    this.lastTicket += 1;
    const ticket = { ticket: this.lastTicket, author: 'test', reason: 'rollout', resources };
    let lastRefusal = '';
    await harness.wait
      .waitFor(
        `ticket ${this.lastTicket} is accepted`,
        async () => {
          for (const { admin } of this.deployment.servers) {
            const filed = await admin.tryFile(ticket).catch((err: unknown) => String(err));
            if (typeof filed !== 'string' && filed.status === 200) return true;
            lastRefusal = JSON.stringify(filed);
          }
          return false;
        },
        10_000,
      )
      .catch((err: unknown) => {
        throw new Error(`${String(err)}: ${lastRefusal}`);
      });
  }
}
