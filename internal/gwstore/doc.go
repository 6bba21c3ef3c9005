// Package gwstore keeps the saved state of a replicated log: hard state and
// entries in a log file of checksummed records, and the latest snapshot in a
// file of its own. Save returns only after everything is synced.
//
// All files are in one folder of an FS. OSFS is the operating system's; MemoryFS
// is a fake for tests that loses unsynced data in a simulated crash.
//
// # Files
//
// "snapshot" holds one record with the latest snapshot and is replaced by an
// atomic rename. "log-N" holds records; each has the changes of one Save. A
// save with a snapshot writes a new log file that begins with everything still
// needed, and removes the older one.
//
// A crash during a save leaves at most one incomplete record at the end of the
// log file; Open cuts it. A damaged record with intact ones after it was synced
// once, so Open refuses the file. Damage to the very last synced record cannot
// be told from an incomplete one.
package gwstore
