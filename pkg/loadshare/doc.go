// Package loadshare lets boxes know what all of them together have the backend
// servers do, and where prompts are cached. Each box reports what it does itself to a
// few relays of its hall; a relay adds the reports up and tells its hall and the
// relays of other halls. So a box sends and gets a bounded number of datagrams,
// however many boxes there are. What is lost makes a choice worse, never wrong.
package loadshare
