/** Program: stand-in for the platform. */

import { Command, Option, runExit } from 'clipanion';
import * as logs from '../common/log.js';
import * as platform from './server.js';

class PlatformCommand extends Command {
  listen = Option.String('--listen', '127.0.0.1:7000');

  control = Option.String('--control', '127.0.0.1:7001');

  writesPerSecond = Option.String('--writes-per-second', '400');

  readsPerSecond = Option.String('--reads-per-second', '2000');

  historyLength = Option.String('--history', '10000');

  seed = Option.String('--seed', '1');

  override async execute(): Promise<void> {
    const log = logs.createLogger('platform');
    const server = await platform.createPlatform({
      listen: this.listen,
      control: this.control,
      writesPerSecond: Number(this.writesPerSecond),
      readsPerSecond: Number(this.readsPerSecond),
      historyLength: Number(this.historyLength),
      seed: Number(this.seed),
    });
    log.info({ address: server.address, control: server.controlAddress }, 'platform: listening');
    await new Promise((resolve) => {
      process.once('SIGTERM', resolve);
    });
    server.close();
  }
}

void runExit(PlatformCommand);
