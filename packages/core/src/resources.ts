/** Schemas of the resources that tickets carry: services, routes and version plans. */

import * as z from 'zod';
import * as units from './units.js';

const NAME_PATTERN = /^[a-z0-9]([a-z0-9-]{0,61}[a-z0-9])?$/;
const VERSION_PATTERN = /^[A-Za-z0-9][A-Za-z0-9._-]{0,62}$/;
const METHODS = ['GET', 'HEAD', 'POST', 'PUT', 'PATCH', 'DELETE', 'OPTIONS'] as const;

/** Limits on one configuration; a ticket that would exceed them is refused. */
export const MAX_RESOURCES = 5_000;
export const MAX_SPEC_BYTES = 64 * 1024;

export const resourceName = z
  .string()
  .regex(NAME_PATTERN, 'must be lower-case letters, digits and hyphens, at most 63 characters');

const version = z
  .string()
  .regex(VERSION_PATTERN, 'must be letters, digits, dots, underscores or hyphens');

const percent = z.number().min(0).max(100);

export const serviceSpec = z.strictObject({
  /** Timeout of requests whose route sets none. */
  requestTimeout: units.durationMs().default(5_000),
  /** Maximum ratio of retries to requests, in percent. */
  retryBudgetPct: percent.default(10),
  /** How long the outcome of an idempotency key is kept. */
  idempotencyRetention: units.durationMs().default(600_000),
  /** Maximum number of requests that wait for a slot at one server. */
  queueLength: z.number().int().min(0).max(10_000).default(24),
  /** Maximum wait for a slot. */
  queueTimeout: units.durationMs().default(500),
  outlier: z
    .strictObject({
      /** Consecutive failures after which a server is ejected. */
      consecutiveFailures: z.number().int().min(1).max(1_000).default(5),
      /** Duration of the first ejection; doubles with each further one. */
      ejectionTime: units.durationMs().default(5_000),
      /** Maximum share of a service's servers that are ejected at the same time. */
      maxEjectedPct: percent.default(50),
    })
    .prefault({}),
});

export const routeSpec = z.strictObject({
  service: resourceName,
  match: z.strictObject({
    pathPrefix: z.string().regex(/^\/[^\s?#]*$/, 'must start with / and hold no ?, # or space'),
    methods: z.array(z.enum(METHODS)).min(1).optional(),
    host: z.string().min(1).max(253).optional(),
  }),
  /**
   * `safe` and `idempotent` requests may run again after a failure; a `once` request carries an
   * Idempotency-Key and runs at most once.
   */
  semantics: z.enum(['safe', 'idempotent', 'once']),
  timeout: units.durationMs().optional(),
  /** Under overload, requests with lower values are shed first. */
  priority: z.number().int().min(0).max(9).default(5),
});

export const versionPlanSpec = z
  .strictObject({
    /** Version that serves all traffic before the rollout and after a rollback. */
    stable: version,
    /** Version to roll out; without it all traffic goes to `stable`. */
    target: version.optional(),
    /** RFC 3339 time by which the target serves all traffic. */
    deadline: z.iso.datetime({ offset: true }).optional(),
    /** Observation time after the last step, during which the stable version is kept ready. */
    soak: units.durationMs().default(60_000),
    /** `timely` favours meeting the deadline, `careful` favours rolling back. */
    balance: z.enum(['timely', 'even', 'careful']).default('even'),
  })
  .refine((plan) => plan.target === undefined || plan.deadline !== undefined, {
    path: ['deadline'],
    message: 'is required with a target',
  })
  .refine((plan) => plan.target !== plan.stable, {
    path: ['target'],
    message: 'must differ from stable; leave it out to send all traffic to stable',
  });

export type ServiceSpec = z.output<typeof serviceSpec>;
export type RouteSpec = z.output<typeof routeSpec>;
export type VersionPlanSpec = z.output<typeof versionPlanSpec>;

export const KINDS = ['service', 'route', 'versionPlan'] as const;
export type ResourceKind = (typeof KINDS)[number];

/** Schema of the `spec` of each kind. */
export const specSchemas = {
  service: serviceSpec,
  route: routeSpec,
  versionPlan: versionPlanSpec,
} as const;

/** A resource's spec as the operator wrote it, after a check against its schema. */
export type RawSpec = Record<string, unknown>;

/** Key of a resource in manifests and messages. */
export function resourceKey(kind: ResourceKind, name: string): string {
  return `${kind}/${name}`;
}
