/** Converts schema and YAML errors into problems with paths, lines and hints. */

import * as yaml from 'yaml';
import type * as z from 'zod';
import type * as failures from './failures.js';

export type Path = readonly PropertyKey[];

/** Returns the line of a field, from 1, or undefined when the source is unknown. */
export type LineLocator = (path: Path) => number | undefined;

export interface YamlSource {
  value: unknown;
  problems: failures.Problem[];
  locate: LineLocator;
}

/** `resources[0].spec.service` */
export function formatPath(path: Path): string {
  return path.reduce<string>((text, part) => {
    if (typeof part === 'number') return `${text}[${part}]`;
    return text === '' ? String(part) : `${text}.${String(part)}`;
  }, '');
}

/** Problems of a failed schema check; each unknown key is reported separately at its own path. */
export function fromZod(err: z.ZodError, locate: LineLocator): failures.Problem[] {
  return err.issues.flatMap((issue) => {
    if (issue.code === 'unrecognized_keys') {
      return issue.keys.map((key) => {
        const path = [...issue.path, key];
        const hint = 'Remove it, or check its spelling.';
        return { path: formatPath(path), message: 'is not a known key', line: locate(path), hint };
      });
    }
    const { path, message } = issue;
    return [{ path: formatPath(path), message, line: locate(path) }];
  });
}

/** Parses YAML text and keeps the positions of its fields. */
export function parseYaml(text: string): YamlSource {
  const lines = new yaml.LineCounter();
  const document = yaml.parseDocument(text, { lineCounter: lines, uniqueKeys: true });
  const found = document.errors.map((err) => ({
    path: '',
    message: err.message.split('\n')[0] ?? err.code,
    line: err.linePos?.[0].line,
  }));
  const locate: LineLocator = (path) => {
    for (let { length } = path; length >= 0; length--) {
      const node: unknown = document.getIn(path.slice(0, length), true);
      if (yaml.isNode(node) && node.range) return lines.linePos(node.range[0]).line;
    }
    return undefined;
  };
  try {
    return { value: found.length > 0 ? null : document.toJS(), problems: found, locate };
  } catch (err) {
    // Alias expansion beyond the library's limit is reported only on conversion.
    const message = err instanceof Error ? err.message : String(err);
    return { value: null, problems: [{ path: '', message }], locate };
  }
}
