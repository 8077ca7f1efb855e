/** Reads ticket files and maps failures reported by a node to lines of the file. */

import * as fs from 'node:fs/promises';
import * as consumers from 'node:stream/consumers';
import type { Readable } from 'node:stream';
import { UsageError } from 'clipanion';
import { failures, problems, resources, ticket as tickets } from '@godwittrack/core';

export interface TicketSource {
  /** File name for messages. */
  file: string;
  text: string;
  ticket: tickets.Ticket;
}

/**
 * Reads a file, or standard input for `-`.
 * @throws UsageError when it cannot be read
 */
export async function readText(file: string, stdin: Readable): Promise<string> {
  try {
    return file === '-' ? await consumers.text(stdin) : await fs.readFile(file, 'utf8');
  } catch (err) {
    const detail = err instanceof Error ? err.message : String(err);
    throw new UsageError(`FILE: ${file} cannot be read: ${detail}`);
  }
}

/** @throws invalidTicket with every problem found */
export function parse(file: string, text: string): TicketSource {
  return { file, text, ticket: tickets.Ticket.parseYaml(text) };
}

/** Adds line numbers of the file to problems that a node reports by resource. */
export function locateProblems(source: TicketSource, failure: failures.Failure): failures.Failure {
  if (!('problems' in failure)) return failure;
  const located = failure.problems.map((problem) => ({
    ...problem,
    line: problem.line ?? lineOf(source, problem.path.split(':')[0] ?? ''),
  }));
  return { ...failure, problems: located };
}

/** Line of a resource such as `route/proofs`; undefined when the ticket does not contain it. */
export function lineOf(source: TicketSource, resource: string): number | undefined {
  const index = source.ticket.changes.findIndex(
    ({ kind, name }) => resources.resourceKey(kind, name) === resource,
  );
  if (index < 0) return undefined;
  return problems.parseYaml(source.text).locate(['resources', index]);
}
