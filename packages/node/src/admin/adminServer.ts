/** HTTP server of the administration API and the metrics. */

import restify from 'restify';
import type { Next, Request, RequestHandlerType, Response, Server } from 'restify';
import { failures, ids, ticket as tickets } from '@godwittrack/core';
import type { metrics } from '@godwittrack/core';
import type * as ticketService from '../config/ticketService.js';
import * as constants from '../constants.js';
import type * as logging from '../logging.js';
import * as localMember from '../membership/localMember.js';
import * as settings from '../settings.js';
import type * as auditTrail from './auditTrail.js';
import type * as statusReport from './statusReport.js';

const STATUS_BY_FAILURE: Readonly<Partial<Record<failures.FailureType, number>>> = {
  invalidTicket: 400,
  invalidRequest: 400,
  ticketNotFound: 404,
  objectNotFound: 404,
  ticketConflict: 409,
  ticketReused: 409,
  acceptContention: 409,
  bodyTooLarge: 413,
  invalidConfiguration: 422,
  platformUnavailable: 503,
  platformOverloaded: 503,
  platformOutcomeUnknown: 503,
  notReady: 503,
};

const INTERNAL_ERROR = 500;
const DEFAULT_AUDIT_LIMIT = 50;
const MAX_AUDIT_LIMIT = 5_000;

type Handler = (req: Request, res: Response) => unknown;

export class AdminServer {
  private readonly server: Server;

  constructor(
    private readonly cfg: settings.ResolvedSettings,
    private readonly ticketing: ticketService.TicketService,
    private readonly report: statusReport.StatusReport,
    private readonly audit: auditTrail.AuditTrail,
    private readonly local: localMember.LocalMember,
    private readonly meters: metrics.Metrics,
    private readonly log: logging.Logger,
  ) {
    this.server = restify.createServer({
      name: 'godwittrack-node',
      maxHeaderSize: cfg.limits.maxHeaderBytes,
    } as restify.ServerOptions);
    this.server.use(restify.plugins.queryParser({ mapParams: false }));
    this.registerRoutes();
  }

  async listen(): Promise<void> {
    const { host, port } = settings.splitAddress(this.cfg.listen.admin);
    await new Promise<void>((resolve, reject) => {
      this.server.on('error', reject);
      this.server.listen(port, host, resolve);
    });
  }

  close(): void {
    this.server.close();
    this.server.server.closeAllConnections();
  }

  private registerRoutes(): void {
    this.get('/v1/tickets', async () => ({ tickets: await this.ticketing.list() }));
    this.get('/v1/tickets/:number', (req) => this.ticketing.show(ticketParameter(req)));
    this.post('/v1/tickets', async (req) => this.ticketing.file(await readTicket(req)));
    this.post('/v1/tickets/check', async (req) => this.ticketing.check(await readTicket(req)));
    this.get('/v1/status', (req) => this.report.status(versionQuery(req)));
    this.get('/v1/rollouts', () => ({ rollouts: this.report.rollouts() }));
    this.get('/v1/rollouts/:id', (req) => this.report.rollout(String(req.params.id)));
    this.get('/v1/upstreams', () => ({ upstreams: this.report.upstreams() }));
    this.get('/v1/nodes', () => ({ nodes: this.report.nodes() }));
    this.get('/v1/audit', async (req) => {
      const query = req.query as Record<string, string | undefined>;
      const requested = Number(query.limit ?? DEFAULT_AUDIT_LIMIT);
      const limit = Math.min(MAX_AUDIT_LIMIT, requested > 0 ? requested : DEFAULT_AUDIT_LIMIT);
      return { entries: await this.audit.read(limit, query.service) };
    });
    this.post('/v1/upstream', async (req) => {
      const text = await readBody(req, tickets.MAX_TICKET_BYTES);
      this.local.announce(localMember.parseAnnouncement(parseJson(text)));
      return { renewWithinMs: constants.UPSTREAM_LEASE_MS };
    });
    this.server.del(
      '/v1/upstream',
      this.toRequestHandler(() => {
        this.local.withdraw('the upstream stopped');
        return {};
      }),
    );
    this.get('/healthz', () => ({ ready: this.local.isReady, reason: '' }));
    this.get('/readyz', (_req, res) => {
      const ready = this.local.isReady && !this.local.isDraining;
      if (!ready) res.status(503);
      const reason = this.local.isDraining ? 'stopping' : 'waiting for the configuration';
      return { ready, reason: ready ? '' : reason };
    });
    this.get('/metrics', (_req, res) => {
      res.setHeader('Content-Type', 'text/plain; version=0.0.4');
      return this.meters.render();
    });
  }

  private get(path: string, handler: Handler): void {
    this.server.get(path, this.toRequestHandler(handler));
  }

  private post(path: string, handler: Handler): void {
    this.server.post(path, this.toRequestHandler(handler));
  }

  /** Wraps a handler: its result is the answer, and a failure is answered with its status code. */
  private toRequestHandler(handler: Handler): RequestHandlerType {
    return (req: Request, res: Response, next: Next) => {
      void this.respond(handler, req, res).finally(() => next(false));
    };
  }

  private async respond(handler: Handler, req: Request, res: Response): Promise<void> {
    try {
      const result = await handler(req, res);
      if (typeof result === 'string') res.sendRaw(result);
      else res.json(result);
    } catch (err) {
      const failure = failures.fromError(err);
      if (failure.type === 'internal') this.log.error({ err }, 'Request failed.');
      if ('retryAfterMs' in failure) {
        res.setHeader('Retry-After', String(Math.ceil(failure.retryAfterMs / 1_000)));
      } else if (failure.type.startsWith('platform')) res.setHeader('Retry-After', '1');
      const message = failures.describe(failure);
      res.json(STATUS_BY_FAILURE[failure.type] ?? INTERNAL_ERROR, {
        error: { ...failure, message },
      });
    }
  }
}

async function readTicket(req: Request): Promise<tickets.Ticket> {
  return tickets.Ticket.parseYaml(await readBody(req, tickets.MAX_TICKET_BYTES));
}

async function readBody(req: Request, limitBytes: number): Promise<string> {
  const chunks: Buffer[] = [];
  let bytes = 0;
  for await (const chunk of req) {
    bytes += (chunk as Buffer).length;
    if (bytes > limitBytes) throw failures.toError({ type: 'bodyTooLarge', limitBytes });
    chunks.push(chunk as Buffer);
  }
  return Buffer.concat(chunks).toString('utf8');
}

function parseJson(text: string): unknown {
  try {
    return JSON.parse(text);
  } catch (err) {
    const problem = { path: '', message: 'is not JSON' };
    throw failures.toError({ type: 'invalidRequest', problems: [problem] }, err);
  }
}

function ticketParameter(req: Request): ids.TicketNumber {
  const number = Number(req.params.number);
  if (Number.isSafeInteger(number) && number > 0) return ids.ticketNumber(number);
  const problem = { path: 'number', message: 'must be a positive integer' };
  throw failures.toError({ type: 'invalidRequest', problems: [problem] });
}

function versionQuery(req: Request): number | null {
  const { version } = req.query as { version?: string };
  if (version === undefined) return null;
  const number = Number(version);
  if (Number.isSafeInteger(number) && number >= 0) return number;
  const problem = { path: 'version', message: 'must be a whole number' };
  throw failures.toError({ type: 'invalidRequest', problems: [problem] });
}
