/** Fake admin listener of a node, and a helper that runs commands in this process. */

import * as http from 'node:http';
import type { AddressInfo } from 'node:net';
import * as consumers from 'node:stream/consumers';
import { PassThrough, Readable } from 'node:stream';
import * as cli from '../cli.js';

export interface FakeResponse {
  status?: number;
  /** Sent as JSON, or as it is when a string. */
  body: unknown;
}

/**
 * Returns the response to the `count`th request of the same method and path. `lost` closes the
 * connection after the request was read; `hang` leaves the request without a response.
 */
export type Handler = (request: string, count: number) => FakeResponse | 'lost' | 'hang';

export interface FakeNode {
  url: string;
  /** `METHOD path` of each request. */
  requests: string[];
  bodies: string[];
  close(): Promise<void>;
}

export async function startNode(handler: Handler): Promise<FakeNode> {
  const requests: string[] = [];
  const bodies: string[] = [];
  const server = http.createServer((req, res) => {
    void consumers.text(req).then((body) => {
      const request = `${req.method} ${req.url}`;
      requests.push(request);
      bodies.push(body);
      const response = handler(request, requests.filter((other) => other === request).length);
      if (response === 'hang') return;
      if (response === 'lost') {
        req.socket.destroy();
        return;
      }
      const text =
        typeof response.body === 'string' ? response.body : JSON.stringify(response.body);
      res.writeHead(response.status ?? 200, { 'content-type': 'application/json' }).end(text);
    });
  });
  await new Promise<void>((resolve) => {
    server.listen(0, '127.0.0.1', resolve);
  });
  const { port } = server.address() as AddressInfo;
  const close = () =>
    new Promise<void>((resolve) => {
      server.close(() => resolve());
      server.closeAllConnections();
    });
  return { url: `http://127.0.0.1:${port}`, requests, bodies, close };
}

export interface RunResult {
  code: number;
  stdout: string;
  stderr: string;
}

export async function run(
  argv: string[],
  stdin = '',
  env: Record<string, string> = {},
): Promise<RunResult> {
  const stdout = new PassThrough();
  const stderr = new PassThrough();
  const outputs = Promise.all([consumers.text(stdout), consumers.text(stderr)]);
  const code = await cli.run(argv, { env, stdin: Readable.from([stdin]), stdout, stderr });
  stdout.end();
  stderr.end();
  const [out, err] = await outputs;
  return { code, stdout: out, stderr: err };
}

export function failure(status: number, error: Record<string, unknown>): FakeResponse {
  return { status, body: { error: { message: 'one line', ...error } } };
}

export const TICKET = `ticket: 12
author: ana
reason: move fontworks
resources:
  - kind: service
    name: fontworks
    spec: {}
  - kind: versionPlan
    name: fontworks
    spec: { stable: v1, target: v2, deadline: 2026-12-04T10:00:00Z }
`;

export const FILED = { ticket: 12, version: 40, repeated: false, atMs: 1_700_000_000_000 };

export function statusResponse(known: number, atVersion: number): FakeResponse {
  const services = [{ service: 'fontworks', stable: 'v1', target: null, summary: 'steady' }];
  const body = {
    node: 'n1',
    region: 'okanagan',
    failureDomain: 'ok-a',
    configVersion: 40,
    platform: { reachable: true, ageMs: 12 },
    path: ['n1', 'root'],
    members: { known, ready: known, atVersion },
    services,
    summary: 'all services steady',
  };
  return { body };
}

export function rolloutResponse(phase: string, sharePct: number): FakeResponse {
  const history = [{ atMs: 1_700_000_000_000, phase, sharePct, reason: 'evidence' }];
  const id = 'fontworks.12';
  return { body: { id, service: 'fontworks', ticket: 12, phase, sharePct, history } };
}
