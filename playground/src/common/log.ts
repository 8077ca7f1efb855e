/** Logger of a stand-in; JSON lines on standard output. */

import * as pino from 'pino';

export type Logger = pino.Logger;

export function createLogger(name: string): Logger {
  return pino.pino({ name, base: { name } });
}
