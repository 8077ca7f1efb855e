/** Typed clients of a node's administration API and of the stand-ins' control ports. */

import got from 'got';
import type { Got } from 'got';
import type * as platformFaults from '../platform/faults.js';
import type * as platforms from '../platform/server.js';
import type * as links from '../link/link.js';
import type * as linkControls from '../link/control.js';
import type * as upstreams from '../upstream/server.js';
import type * as behaviours from '../upstream/behaviour.js';

const TIMEOUT_MS = 5_000;

function createClient(url: string): Got {
  return got.extend({ prefixUrl: url, retry: { limit: 0 }, timeout: { request: TIMEOUT_MS } });
}

class ControlClient<Change> {
  protected readonly client: Got;

  constructor(readonly url: string) {
    this.client = createClient(url);
  }

  async change(change: Change): Promise<void> {
    await this.client.post('control', { json: change });
  }

  protected view<T>(path: string): Promise<T> {
    return this.client.get(`control/${path}`).json<T>();
  }
}

export class PlatformControl extends ControlClient<platformFaults.FaultChange> {
  stats(): Promise<platforms.PlatformStats> {
    return this.view('stats');
  }
}

export class LinkControl extends ControlClient<linkControls.LinkChange> {
  stats(): Promise<links.LinkStats> {
    return this.view('stats');
  }
}

export class UpstreamControl extends ControlClient<behaviours.BehaviourChange> {
  /** Runs of all keys, or of one. */
  runs(key?: string): Promise<upstreams.RunReport> {
    return this.view(key === undefined ? 'runs' : `runs?key=${encodeURIComponent(key)}`);
  }

  /** Totals, and only the keys that ran more than once. */
  duplicates(): Promise<upstreams.RunReport> {
    return this.view('runs?duplicates=1');
  }

  stats(): Promise<upstreams.UpstreamStats> {
    return this.view('stats');
  }
}

/** Answer of the administration API: the status code with the decoded body, also on failures. */
export interface AdminAnswer<T> {
  status: number;
  retryAfterSeconds: number | null;
  body: T;
}

export interface FailureBody {
  error: { type: string; message: string } & Record<string, unknown>;
}

export interface AcceptedTicket {
  ticket: number;
  version: number;
  repeated: boolean;
  atMs: number;
}

export interface NodeStatus {
  node: string;
  region: string;
  failureDomain: string;
  configVersion: number;
  platform: { reachable: boolean; ageMs: number };
  path: string[];
  members: { known: number; ready: number; atVersion: number };
  services: {
    service: string;
    stable: string | null;
    target: string | null;
    phase: string | null;
    sharePct: number | null;
    deadline: string | number | null;
    summary: string;
  }[];
  summary: string;
}

export interface UpstreamEntry {
  node: string;
  service: string;
  version: string;
  slots: number;
  draining: boolean;
  healthy: boolean;
  region: string;
  failureDomain: string;
}

export interface NodeEntry {
  node: string;
  region: string;
  failureDomain: string;
  incarnation: number;
  configVersion: number;
  ready: boolean;
  draining: boolean;
  role: string;
}

export interface AuditEntry {
  atMs: number;
  actor: string;
  action: string;
  ticket: number | null;
  resources: string[];
  version: number | null;
  outcome: string;
  detail: string;
}

/** A ticket to file (docs/design.md, section 3.1). */
export interface TicketDocument {
  ticket: number;
  author: string;
  reason: string;
  resources: { kind: string; name: string; spec?: unknown; deleted?: true }[];
}

/** Client of a node's administration API; HTTP failures are thrown as got's `HTTPError`. */
export class AdminClient {
  private readonly client: Got;

  constructor(readonly url: string) {
    this.client = createClient(url);
  }

  /** Files a ticket and returns the answer whatever its status. */
  async tryFile(
    ticket: TicketDocument | string,
  ): Promise<AdminAnswer<AcceptedTicket | FailureBody>> {
    const content =
      typeof ticket === 'string'
        ? { body: ticket, headers: { 'content-type': 'application/yaml' } }
        : { json: ticket };
    const res = await this.client.post('v1/tickets', { ...content, throwHttpErrors: false });
    const retryAfter = res.headers['retry-after'];
    return {
      status: res.statusCode,
      retryAfterSeconds: retryAfter === undefined ? null : Number(retryAfter),
      body: JSON.parse(res.body) as AcceptedTicket | FailureBody,
    };
  }

  file(ticket: TicketDocument): Promise<AcceptedTicket> {
    return this.client.post('v1/tickets', { json: ticket }).json();
  }

  /** @param version counts `members.atVersion` against this version */
  status(version?: number): Promise<NodeStatus> {
    return this.get(version === undefined ? 'v1/status' : `v1/status?version=${version}`);
  }

  async upstreams(): Promise<UpstreamEntry[]> {
    return (await this.get<{ upstreams: UpstreamEntry[] }>('v1/upstreams')).upstreams;
  }

  async nodes(): Promise<NodeEntry[]> {
    return (await this.get<{ nodes: NodeEntry[] }>('v1/nodes')).nodes;
  }

  async rollouts(): Promise<Record<string, unknown>[]> {
    return (await this.get<{ rollouts: Record<string, unknown>[] }>('v1/rollouts')).rollouts;
  }

  rollout(id: string): Promise<Record<string, unknown>> {
    return this.get(`v1/rollouts/${encodeURIComponent(id)}`);
  }

  async audit(limit = 100): Promise<AuditEntry[]> {
    return (await this.get<{ entries: AuditEntry[] }>(`v1/audit?limit=${limit}`)).entries;
  }

  metrics(): Promise<string> {
    return this.client.get('metrics').text();
  }

  async ready(): Promise<boolean> {
    return isReady(`${this.url}/readyz`);
  }

  private get<T>(path: string): Promise<T> {
    return this.client.get(path).json<T>();
  }
}

/** Whether a GET of `url` is answered with 200. */
export async function isReady(url: string): Promise<boolean> {
  try {
    const options = { retry: { limit: 0 }, timeout: { request: 1_000 }, throwHttpErrors: false };
    return (await got(url, options)).statusCode === 200;
  } catch {
    return false;
  }
}
