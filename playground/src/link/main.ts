/** Program: stand-in for the link between two regions. */

import * as fs from 'node:fs/promises';
import { Command, Option, runExit } from 'clipanion';
import * as z from 'zod';
import * as logs from '../common/log.js';
import * as controls from './control.js';
import * as links from './link.js';

const configSchema = z.strictObject({ mappings: z.array(controls.mappingSchema) });

class LinkCommand extends Command {
  control = Option.String('--control', '127.0.0.1:7011');

  delayMs = Option.String('--delay-ms', '12');

  bitsPerSecond = Option.String('--bits-per-second', '30000000');

  /** JSON file `{"mappings": [{name, listen, target, opens}]}`. */
  config = Option.String('--config');

  /** `name,listen,target,opens`, for example `n1,127.0.0.1:9201,127.0.0.1:8201,ab`. */
  mapping = Option.Array('--mapping', []);

  override async execute(): Promise<void> {
    const log = logs.createLogger('link');
    const link = new links.Link({
      delayMs: Number(this.delayMs),
      bitsPerSecond: Number(this.bitsPerSecond),
    });
    for (const mapping of await this.mappings()) await link.add(mapping);
    const control = await controls.createLinkControl(link, this.control);
    log.info({ control: control.address }, 'link: listening');
    await new Promise((resolve) => {
      process.once('SIGTERM', resolve);
    });
    control.close();
    link.close();
  }

  private async mappings(): Promise<links.Mapping[]> {
    const flags = this.mapping.map((text) => {
      const [name, listen, target, opens] = text.split(',');
      return controls.mappingSchema.parse({ name, listen, target, opens });
    });
    if (this.config === undefined) return flags;
    const text = await fs.readFile(this.config, 'utf8');
    return [...configSchema.parse(JSON.parse(text)).mappings, ...flags];
  }
}

void runExit(LinkCommand);
