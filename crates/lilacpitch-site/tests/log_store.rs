//! The disk of a process.

use lilacpitch_site::log::store::LogStore;

#[test]
fn incarnation_is_later_than_the_former_one_when_the_wall_clock_is_set_back() {
    let folder = tempfile::tempdir().unwrap();
    let incarnations = [1_000, 500, 2_000].map(|wall_ns| {
        // Each opens the folder anew, as a start does.
        LogStore::open(folder.path(), "root/0/root-0").unwrap().begin_incarnation(wall_ns).unwrap()
    });
    assert_eq!(incarnations, [1_000, 1_001, 2_000]);
}
