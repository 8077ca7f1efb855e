/** Starts, observes and ends child processes, always by process id. */

import * as childProcess from 'node:child_process';
import * as fs from 'node:fs';
import * as os from 'node:os';
import * as path from 'node:path';
import * as readline from 'node:readline';
import * as timers from 'node:timers/promises';

export interface ProcessOptions {
  /** Unique in its group; used in errors. */
  name: string;
  /** Arguments of `node`: the program first. */
  args: string[];
  /** Resolves to true once the process serves. Ready as soon as it has started when absent. */
  isReady?: () => Promise<boolean>;
  /** Default 15,000 ms. */
  readyTimeoutMs?: number;
  env?: Record<string, string>;
  /** Log lines kept; older ones are dropped. Default 5,000. */
  keptLogLines?: number;
}

export interface Exit {
  code: number | null;
  signal: NodeJS.Signals | null;
}

const PRELOAD_URL = new URL('./exitWithParent.js', import.meta.url).href;
const READY_POLL_MS = 25;
const DEFAULT_READY_TIMEOUT_MS = 15_000;
const DEFAULT_STOP_TIMEOUT_MS = 20_000;
const DEFAULT_LOG_LINES = 5_000;
const LOG_TAIL_LINES = 15;

interface Running {
  child: childProcess.ChildProcess;
  exited: Promise<Exit>;
}

/** One process that can be started again with the same settings. */
export class ManagedProcess {
  private running: Running | undefined;

  private lines: string[] = [];

  /** How the last run ended; undefined while it runs. */
  exit: Exit | undefined;

  private retired = false;

  constructor(readonly options: ProcessOptions) {}

  get name(): string {
    return this.options.name;
  }

  get pid(): number | undefined {
    return this.running?.child.pid;
  }

  get isRunning(): boolean {
    return this.running !== undefined;
  }

  /** Lines of standard output and standard error of all runs. */
  get logs(): readonly string[] {
    return this.lines;
  }

  /** Log lines that are JSON objects. */
  get records(): Record<string, unknown>[] {
    return this.lines.flatMap((line) => {
      try {
        const value: unknown = JSON.parse(line);
        return typeof value === 'object' && value !== null ? [{ ...value }] : [];
      } catch {
        return [];
      }
    });
  }

  /** Starts the process and waits until it is ready. */
  async start(): Promise<void> {
    this.spawn();
    await this.waitReady();
  }

  /** Starts the process without waiting. */
  spawn(): void {
    if (this.running !== undefined) throw new Error(`${this.name} is already running`);
    if (this.retired) throw new Error(`${this.name} belongs to a closed group`);
    const child = childProcess.spawn(
      process.execPath,
      ['--import', PRELOAD_URL, ...this.options.args],
      {
        stdio: ['ignore', 'pipe', 'pipe'],
        env: {
          ...process.env,
          ...this.options.env,
          HARNESS_PARENT_PID: String(process.pid),
        },
      },
    );
    this.exit = undefined;
    this.collect(child.stdout);
    this.collect(child.stderr);
    const exited = new Promise<Exit>((resolve) => {
      const finish = (exit: Exit) => {
        this.exit = exit;
        this.running = undefined;
        resolve(exit);
      };
      child.once('exit', (code, signal) => finish({ code, signal }));
      child.once('error', (err) => {
        this.keep(String(err));
        if (child.pid === undefined) finish({ code: null, signal: null });
      });
    });
    this.running = { child, exited };
  }

  /** @throws Error with the last log lines when the process ends or does not become ready in time */
  async waitReady(): Promise<void> {
    const { isReady, readyTimeoutMs = DEFAULT_READY_TIMEOUT_MS } = this.options;
    const endMs = performance.now() + readyTimeoutMs;
    while (this.isRunning) {
      if (isReady === undefined || (await isReady())) return;
      if (performance.now() > endMs) throw this.problem(`is not ready after ${readyTimeoutMs} ms`);
      await timers.setTimeout(READY_POLL_MS);
    }
    throw this.problem(`ended before it was ready: ${JSON.stringify(this.exit)}`);
  }

  /** SIGKILL. */
  async kill(): Promise<void> {
    await this.end('SIGKILL');
  }

  /** Kills the process and refuses later starts, so that no pending start outlives its group. */
  async retire(): Promise<void> {
    this.retired = true;
    await this.kill();
  }

  /** SIGTERM; killed with an error when it has not ended after the timeout. */
  async stop(timeoutMs = DEFAULT_STOP_TIMEOUT_MS): Promise<Exit | undefined> {
    const { running } = this;
    if (running === undefined) return this.exit;
    const limit = setTimeout(() => running.child.kill('SIGKILL'), timeoutMs);
    const exit = await this.end('SIGTERM');
    clearTimeout(limit);
    if (exit?.signal === 'SIGKILL') throw this.problem(`did not stop within ${timeoutMs} ms`);
    return exit;
  }

  /** SIGSTOP: the process keeps its connections but does nothing. */
  freeze(): void {
    this.running?.child.kill('SIGSTOP');
  }

  /** SIGCONT. */
  thaw(): void {
    this.running?.child.kill('SIGCONT');
  }

  /** Starts again with the same settings, after a kill unless `graceful`. */
  async restart(options: { graceful?: boolean } = {}): Promise<void> {
    if (options.graceful === true) await this.stop();
    else await this.kill();
    await this.start();
  }

  /** Ends the process at once without waiting, for exit handlers. */
  abandon(): void {
    this.running?.child.kill('SIGKILL');
  }

  private async end(signal: NodeJS.Signals): Promise<Exit | undefined> {
    const { running } = this;
    if (running === undefined) return this.exit;
    running.child.kill(signal);
    return running.exited;
  }

  private collect(stream: NodeJS.ReadableStream | null): void {
    if (stream !== null) readline.createInterface(stream).on('line', (line) => this.keep(line));
  }

  private keep(line: string): void {
    this.lines.push(line);
    const { keptLogLines = DEFAULT_LOG_LINES } = this.options;
    // Trimmed in blocks, because removing from the front copies the array.
    if (this.lines.length > 2 * keptLogLines) this.lines = this.lines.slice(-keptLogLines);
  }

  private problem(text: string): Error {
    const tail = this.lines.slice(-LOG_TAIL_LINES).map((line) => `  ${line}`);
    return new Error([`${this.name} ${text}`, ...tail].join('\n'));
  }
}

/** Processes and temporary files that end together. */
export class ProcessGroup {
  private readonly members = new Set<ManagedProcess>();

  /** Temporary directory, removed on close. */
  readonly dir = fs.mkdtempSync(path.join(os.tmpdir(), 'godwittrack-'));

  private readonly onExit = () => this.abandon();

  private readonly onSignal = (signal: NodeJS.Signals) => {
    this.abandon();
    process.kill(process.pid, signal);
  };

  constructor() {
    process.once('exit', this.onExit);
    process.once('SIGINT', this.onSignal);
    process.once('SIGTERM', this.onSignal);
  }

  get processes(): readonly ManagedProcess[] {
    return [...this.members];
  }

  /** Adds a process that is not yet started. */
  add(options: ProcessOptions): ManagedProcess {
    const member = new ManagedProcess(options);
    this.members.add(member);
    return member;
  }

  /** Kills a process and forgets it. */
  async remove(member: ManagedProcess): Promise<void> {
    await member.retire();
    this.members.delete(member);
  }

  /** Writes a file into the temporary directory and returns its path. */
  writeFile(name: string, text: string): string {
    const file = path.join(this.dir, name);
    fs.writeFileSync(file, text);
    return file;
  }

  /** Kills every process, waits until all have ended and removes the temporary directory. */
  async close(): Promise<void> {
    await Promise.all(this.processes.map((member) => member.retire()));
    this.release();
  }

  private abandon(): void {
    this.members.forEach((member) => member.abandon());
    this.release();
  }

  private release(): void {
    process.off('exit', this.onExit);
    process.off('SIGINT', this.onSignal);
    process.off('SIGTERM', this.onSignal);
    fs.rmSync(this.dir, { recursive: true, force: true });
  }
}
