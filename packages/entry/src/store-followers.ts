//! Which entry VMs follow the store closely, so that the calls to the store do not grow with the
//! number of entry VMs. They are chosen without a vote: when views differ, more or fewer follow for a
//! while, and an entry VM that gets no changes from others asks the store itself.
import type { EntryVmDirectory } from "./entry-vm-directory.js";

const followerRole = "follow targets";
// In each data centre. One remains when the other fails, is cut off or is turned away by the store.
const followerCount = 2;
// In a data centre with no more entry VMs than this, all follow.
const smallDataCentreSize = 3;

export class StoreFollowers {
  constructor(
    private readonly ownName: string,
    private readonly directory: Pick<EntryVmDirectory, "rankLocal">,
  ) {}

  /// The names of the followers in this data centre, as far as this entry VM can tell.
  list(): readonly string[] {
    const ranked = this.directory.rankLocal(followerRole);
    return ranked.length <= smallDataCentreSize ? ranked : ranked.slice(0, followerCount);
  }

  /// Whether this entry VM is one of them.
  includesThis(): boolean {
    return this.list().includes(this.ownName);
  }
}
