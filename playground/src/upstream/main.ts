/** Program: stand-in for an upstream. */

import { Command, Option, runExit } from 'clipanion';
import * as upstreams from './server.js';

class UpstreamCommand extends Command {
  service = Option.String('--service', { required: true });

  version = Option.String('--version', { required: true });

  server = Option.String('--server', 'upstream');

  slots = Option.String('--slots', '12');

  connections = Option.String('--connections', '130');

  admin = Option.String('--admin');

  listen = Option.String('--listen', '127.0.0.1:0');

  /** Shorthand for `--listen 127.0.0.1:PORT`. */
  port = Option.String('--port');

  control = Option.String('--control', '127.0.0.1:0');

  serviceTimeMs = Option.String('--service-time-ms', '5');

  serviceTimeSigma = Option.String('--service-time-sigma', '0.3');

  coldStartMs = Option.String('--cold-start-ms', '0');

  drainQuietMs = Option.String('--drain-quiet-ms', '500');

  drainLimitMs = Option.String('--drain-limit-ms', '10000');

  seed = Option.String('--seed', '1');

  override async execute(): Promise<void> {
    const upstream = await upstreams.createUpstream({
      service: this.service,
      version: this.version,
      server: this.server,
      slots: Number(this.slots),
      connections: Number(this.connections),
      adminUrl: this.admin,
      listen: this.port === undefined ? this.listen : `127.0.0.1:${this.port}`,
      control: this.control,
      serviceTimeMs: Number(this.serviceTimeMs),
      serviceTimeSigma: Number(this.serviceTimeSigma),
      coldStartMs: Number(this.coldStartMs),
      drainQuietMs: Number(this.drainQuietMs),
      drainLimitMs: Number(this.drainLimitMs),
      seed: Number(this.seed),
    });
    await new Promise((resolve) => {
      process.once('SIGTERM', resolve);
    });
    await upstream.drain();
  }
}

void runExit(UpstreamCommand);
