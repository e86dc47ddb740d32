import type {
  AssignerMessage,
  FollowerReport,
} from '@hickoryhoist/protocol/generated/hickoryhoist/control/v1/control.js';
import type { EntryVmControl } from '../../entryVmControl.js';
import type { FollowerListener, FollowListener, FollowStream } from '../../peerClient.js';
import type { FakeNetwork } from './fakeNetwork.js';

/** Delivers messages in order, like a stream. The first failure closes the channel. */
class OrderedChannel<T> {
  #last: Promise<void> = Promise.resolve();
  #isBroken = false;

  send(message: T, transmit: () => Promise<void>, deliver: (message: T) => void, onBroken: () => void): void {
    this.#last = this.#last.then(async () => {
      if (this.#isBroken) {
        return;
      }
      try {
        await transmit();
        deliver(message);
      } catch {
        this.#isBroken = true;
        onBroken();
      }
    });
  }
}

/** Opens a follower's stream over the fake network. */
export function connectFollower(
  network: FakeNetwork,
  from: string,
  to: string,
  currentProcess: () => EntryVmControl,
  listener: FollowListener,
): FollowStream {
  const toAssigner = new OrderedChannel<FollowerReport>();
  const toFollower = new OrderedChannel<AssignerMessage>();
  let followerListener: FollowerListener | undefined;
  let assignerProcess: EntryVmControl | undefined;
  let isOpen = true;
  const close = (): void => {
    if (isOpen) {
      isOpen = false;
      followerListener?.onClose();
      listener.onClose();
    }
  };
  const connection = {
    send: (message: AssignerMessage): void => {
      const transmit = (): Promise<void> => network.deliver(to, from);
      const deliver = (copy: AssignerMessage): void => {
        if (isOpen) {
          listener.onMessage(copy);
        }
      };
      toFollower.send(structuredClone(message), transmit, deliver, close);
    },
  };
  return {
    send: (report) => {
      const deliver = (copy: FollowerReport): void => {
        assignerProcess ??= currentProcess();
        if (assignerProcess !== currentProcess()) {
          throw new RangeError('the process at the other end was replaced');
        }
        followerListener ??= assignerProcess.acceptFollower(connection);
        if (isOpen) {
          followerListener.onReport(copy);
        }
      };
      toAssigner.send(structuredClone(report), () => network.deliver(from, to), deliver, close);
    },
    dispose: () => {
      isOpen = false;
      followerListener?.onClose();
    },
  };
}
