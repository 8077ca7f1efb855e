/** Starts, monitors and stops child processes; signals are only sent by process id. */

import * as childProcess from 'node:child_process';
import * as fs from 'node:fs';
import * as os from 'node:os';
import * as path from 'node:path';
import * as readline from 'node:readline';
import * as timers from 'node:timers/promises';

export interface ProcessOptions {
  /** Unique in its group; used in error messages. */
  name: string;
  /** Arguments of `node`: the program first. */
  args: string[];
  /** Resolves to true once the process serves. Without it, a started process counts as ready. */
  isReady?: () => Promise<boolean>;
  /** Default 15,000 ms. */
  readyTimeoutMs?: number;
  env?: Record<string, string>;
  /** Log lines kept when older ones are dropped, which starts at twice this number. Default 5,000. */
  maxLogLines?: number;
}

export interface Exit {
  code: number | null;
  signal: NodeJS.Signals | null;
}

const PRELOAD_URL = new URL('./exitWithParent.js', import.meta.url).href;
const READY_POLL_MS = 25;
const DEFAULT_READY_TIMEOUT_MS = 15_000;
const DEFAULT_STOP_TIMEOUT_MS = 20_000;
const DEFAULT_MAX_LOG_LINES = 5_000;
const LOG_TAIL_LINES = 15;

interface Running {
  child: childProcess.ChildProcess;
  exited: Promise<Exit>;
}

/** One process that can be started again with the same settings. */
export class ManagedProcess {
  private running: Running | undefined;

  private logLines: string[] = [];

  /** Exit of the last run; undefined while the process runs. */
  exit: Exit | undefined;

  private disposed = false;

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
    return this.logLines;
  }

  /** Log lines that are JSON objects. */
  get records(): Record<string, unknown>[] {
    return this.logLines.flatMap((line) => {
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
    if (this.disposed) throw new Error(`${this.name} belongs to a closed group`);
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
    this.collectLogs(child.stdout);
    this.collectLogs(child.stderr);
    const exited = new Promise<Exit>((resolve) => {
      const finish = (exit: Exit) => {
        this.exit = exit;
        this.running = undefined;
        resolve(exit);
      };
      child.once('exit', (code, signal) => finish({ code, signal }));
      child.once('error', (err) => {
        this.appendLog(String(err));
        if (child.pid === undefined) finish({ code: null, signal: null });
      });
    });
    this.running = { child, exited };
  }

  /** @throws Error with the last log lines when the process ends or does not become ready in time */
  async waitReady(): Promise<void> {
    const { isReady, readyTimeoutMs = DEFAULT_READY_TIMEOUT_MS } = this.options;
    const deadlineMs = performance.now() + readyTimeoutMs;
    while (this.isRunning) {
      if (isReady === undefined || (await isReady())) return;
      if (performance.now() > deadlineMs)
        throw this.errorWithLogs(`is not ready after ${readyTimeoutMs} ms`);
      await timers.setTimeout(READY_POLL_MS);
    }
    throw this.errorWithLogs(`ended before it was ready: ${JSON.stringify(this.exit)}`);
  }

  /** Sends SIGKILL and waits for the exit. */
  async kill(): Promise<void> {
    await this.sendSignalAndWait('SIGKILL');
  }

  /** Kills the process and refuses later starts, so that no pending start outlives its group. */
  async dispose(): Promise<void> {
    this.disposed = true;
    await this.kill();
  }

  /** Sends SIGTERM. @throws Error when the process did not exit in time and was killed */
  async stop(timeoutMs = DEFAULT_STOP_TIMEOUT_MS): Promise<Exit | undefined> {
    const { running } = this;
    if (running === undefined) return this.exit;
    const killTimer = setTimeout(() => running.child.kill('SIGKILL'), timeoutMs);
    const exit = await this.sendSignalAndWait('SIGTERM');
    clearTimeout(killTimer);
    if (exit?.signal === 'SIGKILL') throw this.errorWithLogs(`did not stop within ${timeoutMs} ms`);
    return exit;
  }

  /** Sends SIGSTOP: the process keeps its connections open but does not run. */
  freeze(): void {
    this.running?.child.kill('SIGSTOP');
  }

  /** Sends SIGCONT after `freeze`. */
  thaw(): void {
    this.running?.child.kill('SIGCONT');
  }

  /** Starts again with the same settings, after a kill unless `graceful`. */
  async restart(options: { graceful?: boolean } = {}): Promise<void> {
    if (options.graceful === true) await this.stop();
    else await this.kill();
    await this.start();
  }

  /** Sends SIGKILL without waiting for the exit; for exit handlers, which cannot wait. */
  killWithoutWaiting(): void {
    this.running?.child.kill('SIGKILL');
  }

  private async sendSignalAndWait(signal: NodeJS.Signals): Promise<Exit | undefined> {
    const { running } = this;
    if (running === undefined) return this.exit;
    running.child.kill(signal);
    return running.exited;
  }

  private collectLogs(stream: NodeJS.ReadableStream | null): void {
    if (stream !== null)
      readline.createInterface(stream).on('line', (line) => this.appendLog(line));
  }

  private appendLog(line: string): void {
    this.logLines.push(line);
    const { maxLogLines = DEFAULT_MAX_LOG_LINES } = this.options;
    // Trimmed in blocks, because each removal from the front copies the array.
    if (this.logLines.length > 2 * maxLogLines) this.logLines = this.logLines.slice(-maxLogLines);
  }

  private errorWithLogs(text: string): Error {
    const tail = this.logLines.slice(-LOG_TAIL_LINES).map((line) => `  ${line}`);
    return new Error([`${this.name} ${text}`, ...tail].join('\n'));
  }
}

/** Processes and a temporary directory that are cleaned up together. */
export class ProcessGroup {
  private readonly members = new Set<ManagedProcess>();

  /** Temporary directory, removed on close. */
  readonly dir = fs.mkdtempSync(path.join(os.tmpdir(), 'godwittrack-'));

  private readonly onExit = () => this.killAll();

  private readonly onSignal = (signal: NodeJS.Signals) => {
    this.killAll();
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

  /** Kills a process and removes it from the group. */
  async remove(member: ManagedProcess): Promise<void> {
    await member.dispose();
    this.members.delete(member);
  }

  /** Writes a file into the temporary directory and returns its path. */
  writeFile(name: string, text: string): string {
    const file = path.join(this.dir, name);
    fs.writeFileSync(file, text);
    return file;
  }

  /** Kills every process, waits until all have exited and removes the temporary directory. */
  async close(): Promise<void> {
    await Promise.all(this.processes.map((member) => member.dispose()));
    this.cleanUp();
  }

  private killAll(): void {
    this.members.forEach((member) => member.killWithoutWaiting());
    this.cleanUp();
  }

  private cleanUp(): void {
    process.off('exit', this.onExit);
    process.off('SIGINT', this.onSignal);
    process.off('SIGTERM', this.onSignal);
    fs.rmSync(this.dir, { recursive: true, force: true });
  }
}
