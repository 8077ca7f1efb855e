/** Helpers shared by the stand-ins' HTTP servers. */

import type { IncomingMessage } from 'node:http';
import type { Server as NetServer, Socket } from 'node:net';
import * as restify from 'restify';
import * as z from 'zod';
import * as addresses from './address.js';

const CONTROL_BODY_LIMIT_BYTES = 1024 * 1024;

/** Thrown by a handler to send an error answer with this status. */
export class HttpError extends Error {
  constructor(
    readonly status: number,
    readonly type: string,
    detail: string,
  ) {
    super(detail);
  }
}

/** Reads a whole body. Drains an oversized one, so that the client receives the error answer. */
export async function readBody(req: IncomingMessage, limitBytes: number): Promise<Buffer> {
  const chunks: Buffer[] = [];
  let bytes = 0;
  for await (const chunk of req) {
    bytes += (chunk as Buffer).length;
    if (bytes <= limitBytes) chunks.push(chunk as Buffer);
  }
  if (bytes > limitBytes) throw new HttpError(413, 'tooLarge', `the limit is ${limitBytes} bytes`);
  return Buffer.concat(chunks);
}

export function parseJson(body: Buffer): unknown {
  try {
    return JSON.parse(body.toString('utf8'));
  } catch {
    throw new HttpError(400, 'invalidRequest', 'the body is not JSON');
  }
}

/** Sends `err` as `{error: {type, detail}}`. */
export function sendError(res: restify.Response, err: unknown): void {
  if (res.headersSent || res.destroyed) return;
  const detail = err instanceof Error ? err.message : String(err);
  const isHttpError = err instanceof HttpError;
  res.send(isHttpError ? err.status : 500, {
    error: { type: isHttpError ? err.type : 'internal', detail },
  });
}

export interface ControlOptions<T> {
  /** Address of the control port. */
  address: string;
  /** Schema of the body of `POST /control`. */
  schema: z.ZodType<T>;
  apply: (change: T) => void | Promise<void>;
  /** Answers of `GET /control/{name}`. */
  views: Record<string, (query: URLSearchParams) => unknown>;
}

export interface ControlServer {
  address: string;
  close: () => void;
}

/** Serves `POST /control` and `GET /control/{view}` on a port that faults do not affect. */
export async function createControlServer<T>(options: ControlOptions<T>): Promise<ControlServer> {
  const server = restify.createServer({ name: 'control' });
  server.post('/control', async (req: restify.Request, res: restify.Response) => {
    try {
      const body = parseJson(await readBody(req, CONTROL_BODY_LIMIT_BYTES));
      const checked = options.schema.safeParse(body);
      if (!checked.success) {
        throw new HttpError(400, 'invalidRequest', z.prettifyError(checked.error));
      }
      await options.apply(checked.data);
      res.send(200, {});
    } catch (err) {
      sendError(res, err);
    }
  });
  Object.entries(options.views).forEach(([name, view]) => {
    server.get(`/control/${name}`, async (req: restify.Request, res: restify.Response) => {
      res.send(200, view(queryOf(req)));
    });
  });
  const address = await addresses.listen(server.server, options.address);
  const close = () => {
    server.close();
    (server.server as { closeAllConnections?: () => void }).closeAllConnections?.();
  };
  return { address, close };
}

export function queryOf(req: IncomingMessage): URLSearchParams {
  return new URL(req.url ?? '/', 'http://localhost').searchParams;
}

/** Tracks the open connections of a server and the bytes of all its connections. */
export class ConnectionTracker {
  readonly open = new Set<Socket>();

  private closedBytesIn = 0;

  private closedBytesOut = 0;

  constructor(server: NetServer) {
    server.on('connection', (socket: Socket) => {
      this.open.add(socket);
      socket.once('close', () => {
        this.open.delete(socket);
        this.closedBytesIn += socket.bytesRead;
        this.closedBytesOut += socket.bytesWritten;
      });
    });
  }

  get bytesIn(): number {
    return [...this.open].reduce((sum, socket) => sum + socket.bytesRead, this.closedBytesIn);
  }

  get bytesOut(): number {
    return [...this.open].reduce((sum, socket) => sum + socket.bytesWritten, this.closedBytesOut);
  }

  destroyAll(): void {
    this.open.forEach((socket) => socket.destroy());
  }
}
