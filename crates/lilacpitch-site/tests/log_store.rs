//! The data folder of a process: each incarnation is later than the former one.

use lilacpitch_site::log::store::LogStore;

#[test]
fn incarnation_is_later_than_the_former_one_even_if_the_wall_clock_is_set_back() {
    let folder = tempfile::tempdir().unwrap();
    let incarnations = [1_000, 500, 2_000].map(|wall_clock_ns| {
        // Opens the folder again, as a restart does.
        LogStore::open(folder.path(), "root/0/root-0").unwrap().begin_incarnation(wall_clock_ns).unwrap()
    });
    assert_eq!(incarnations, [1_000, 1_001, 2_000]);
}
