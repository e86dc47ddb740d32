import type {
  AssignerMessage,
  FollowerReport,
} from '@hickoryhoist/protocol/generated/hickoryhoist/control/v1/control.js';
import type { EntryVmControl } from '../../entryVmControl.js';
import type { FollowerListener, FollowListener, FollowStream } from '../../peerClient.js';
import type { FakeNetwork } from './fakeNetwork.js';

/** Delivers messages one after the other, as a stream does; the first failure ends the stream. */
class OrderedPipe<T> {
  #last: Promise<void> = Promise.resolve();
  #isBroken = false;

  send(message: T, cross: () => Promise<void>, deliver: (message: T) => void, onBroken: () => void): void {
    this.#last = this.#last.then(async () => {
      if (this.#isBroken) {
        return;
      }
      try {
        await cross();
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
  target: () => EntryVmControl,
  listener: FollowListener,
): FollowStream {
  const upwards = new OrderedPipe<FollowerReport>();
  const downwards = new OrderedPipe<AssignerMessage>();
  let accepted: FollowerListener | undefined;
  let process: EntryVmControl | undefined;
  let isOpen = true;
  const close = (): void => {
    if (isOpen) {
      isOpen = false;
      accepted?.onClose();
      listener.onClose();
    }
  };
  const connection = {
    send: (message: AssignerMessage): void => {
      const cross = (): Promise<void> => network.cross(to, from);
      const deliver = (copy: AssignerMessage): void => {
        if (isOpen) {
          listener.onMessage(copy);
        }
      };
      downwards.send(structuredClone(message), cross, deliver, close);
    },
  };
  return {
    send: (report) => {
      const deliver = (copy: FollowerReport): void => {
        process ??= target();
        if (process !== target()) {
          throw new RangeError('the process on the other end is gone');
        }
        accepted ??= process.acceptFollower(connection);
        if (isOpen) {
          accepted.onReport(copy);
        }
      };
      upwards.send(structuredClone(report), () => network.cross(from, to), deliver, close);
    },
    dispose: () => {
      isOpen = false;
      accepted?.onClose();
    },
  };
}
