/** State of a VM as reported by the platform, with a delay. */
export type VirtualMachineState = 'live' | 'leaving';

/** A VM in the platform's list. */
export interface VirtualMachine {
  readonly id: string;
  /** `host:port` of the service that the VM runs. */
  readonly address: string;
  readonly availabilityZone: string;
  readonly role: string;
  readonly state: VirtualMachineState;
}

/** The platform's list of live and leaving VMs. The list is eventually consistent. */
export interface VirtualMachineList {
  /** @throws PlatformUnavailableError */
  list(): Promise<readonly VirtualMachine[]>;
}
