import type { EntryVm } from '@hickoryhoist/protocol/common/assignment.js';
import type {
  FollowerReport,
  LoadReport,
  ServerReport,
} from '@hickoryhoist/protocol/generated/hickoryhoist/control/v1/control.js';
import { leaseTiming } from './leaseTiming.js';
import type { Member } from './observations.js';
import type { FollowerConnection } from './peerClient.js';

/** A follower's stream and the content of its last report. */
export interface FollowerSession {
  readonly connection: FollowerConnection;
  entryVm: EntryVm | undefined;
  isLeaving: boolean;
  lastReportAt: number;
  appliedRevision: number;
  sentRevision: number;
  sentAt: number;
  configurationRevision: number;
  servers: readonly ServerReport[];
  load: LoadReport | undefined;
}

/** Followers that are connected to an assigner. */
export class MemberRegistry {
  readonly #sessions = new Set<FollowerSession>();

  open(connection: FollowerConnection): FollowerSession {
    const session: FollowerSession = {
      connection,
      entryVm: undefined,
      isLeaving: false,
      lastReportAt: performance.now(),
      appliedRevision: 0,
      sentRevision: 0,
      sentAt: 0,
      configurationRevision: 0,
      servers: [],
      load: undefined,
    };
    this.#sessions.add(session);
    return session;
  }

  close(session: FollowerSession): void {
    this.#sessions.delete(session);
  }

  record(session: FollowerSession, report: FollowerReport): void {
    session.entryVm = report.entryVm ?? session.entryVm;
    session.isLeaving = report.isLeaving;
    session.lastReportAt = performance.now();
    session.appliedRevision = report.appliedRevision;
    session.configurationRevision = report.configurationRevision;
    session.servers = report.servers;
    session.load = report.load ?? session.load;
    const isOverdue = performance.now() - session.sentAt > leaseTiming.peerTimeoutMilliseconds;
    if (report.appliedRevision < session.sentRevision && isOverdue) {
      session.sentRevision = report.appliedRevision;
    }
  }

  /** Sessions with a recent report, only the newest one of each entry VM. */
  liveSessions(): readonly FollowerSession[] {
    const newest = new Map<string, FollowerSession>();
    for (const session of this.#sessions) {
      const isLive = performance.now() - session.lastReportAt < leaseTiming.peerTimeoutMilliseconds;
      if (session.entryVm !== undefined && isLive) {
        newest.set(session.entryVm.id, session);
      }
    }
    return [...newest.values()];
  }

  members(): readonly Member[] {
    return this.liveSessions().flatMap(({ entryVm, isLeaving }) =>
      entryVm === undefined ? [] : [{ entryVm, isLeaving }],
    );
  }

  allSessions(): readonly FollowerSession[] {
    return [...this.#sessions];
  }
}
