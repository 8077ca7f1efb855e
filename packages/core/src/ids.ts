/**
 * Branded identifiers. A brand keeps a node id from being passed where a service name is expected;
 * at run time each is a plain string or number.
 */

declare const brand: unique symbol;

type Branded<T, Name extends string> = T & { readonly [brand]: Name };

/** Stable name of a node, unique in a deployment, from the node's settings. */
export type NodeId = Branded<string, 'NodeId'>;
export type RegionName = Branded<string, 'RegionName'>;
export type DomainName = Branded<string, 'DomainName'>;
export type ServiceName = Branded<string, 'ServiceName'>;
export type RouteName = Branded<string, 'RouteName'>;
export type CustomerName = Branded<string, 'CustomerName'>;
/** SHA-256 of a customer's key, in base64. */
export type KeyDigest = Branded<string, 'KeyDigest'>;
/** Version of an upstream's software, for example `v2`. */
export type VersionName = Branded<string, 'VersionName'>;
/** Positive integer chosen by the operators. */
export type TicketNumber = Branded<number, 'TicketNumber'>;
/** Version of the whole configuration; rises by one with each accepted ticket. */
export type ConfigVersion = Branded<number, 'ConfigVersion'>;
/** Lower-case hexadecimal SHA-256 of canonical JSON. */
export type ContentHash = Branded<string, 'ContentHash'>;
/** `{service}.{ticket}`. */
export type RolloutId = Branded<string, 'RolloutId'>;
export type RequestId = Branded<string, 'RequestId'>;
export type IdempotencyKey = Branded<string, 'IdempotencyKey'>;
/** Identifies one run of an upstream process; set by the upstream itself. */
export type InstanceId = Branded<string, 'InstanceId'>;
/** Distinguishes successive runs of the same node; a later run has a higher value. */
export type Incarnation = Branded<number, 'Incarnation'>;
/** Rises each time the platform's store is restored from a copy; 0 for a store that has no eras. */
export type StoreEra = Branded<number, 'StoreEra'>;

/** Identifies requests with the same method, host, target, caller and body, whatever their ids. */
export type RequestFingerprint = Branded<string, 'RequestFingerprint'>;
/** Identifies the end of one run of an upstream process. */
export type UpstreamEndId = Branded<string, 'UpstreamEndId'>;

export const nodeId = (value: string) => value as NodeId;
export const regionName = (value: string) => value as RegionName;
export const domainName = (value: string) => value as DomainName;
export const serviceName = (value: string) => value as ServiceName;
export const routeName = (value: string) => value as RouteName;
export const customerName = (value: string) => value as CustomerName;
export const keyDigest = (value: string) => value as KeyDigest;
export const versionName = (value: string) => value as VersionName;
export const ticketNumber = (value: number) => value as TicketNumber;
export const configVersion = (value: number) => value as ConfigVersion;
export const contentHash = (value: string) => value as ContentHash;
export const requestId = (value: string) => value as RequestId;
export const idempotencyKey = (value: string) => value as IdempotencyKey;
export const instanceId = (value: string) => value as InstanceId;
export const incarnation = (value: number) => value as Incarnation;
export const requestFingerprint = (value: string) => value as RequestFingerprint;
export const upstreamEndId = (value: string) => value as UpstreamEndId;
export const storeEra = (value: number) => value as StoreEra;

/** Version held by a node that has no configuration yet. */
export const NO_CONFIG = configVersion(0);

export function rolloutId(service: ServiceName, ticket: TicketNumber): RolloutId {
  return `${service}.${ticket}` as RolloutId;
}
