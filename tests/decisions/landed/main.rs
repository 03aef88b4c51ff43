//! Writes one message of each kind as the build that this is compiled with: by hand, into
//! the folder that is named (docs/design/mixed-builds.md).

mod messages;

use {
    messages::*,
    saddlepulley::cluster::encode,
    std::{env, fs, path::PathBuf},
};

fn main() {
    let dir = PathBuf::from(env::args().nth(1).expect("a folder"));
    let write = |name: &str, bytes: &[u8]| {
        fs::write(dir.join(format!("{name}.hex")), hex::encode(bytes) + "\n").expect("written");
    };
    for (name, datagram) in datagrams() {
        write(name, &datagram.encode().expect("a datagram"));
    }
    write("feed-ask", &encode(&feed_ask()).expect("encoded"));
    write("feed-news", &encode(&feed_news()).expect("encoded"));
    write("config-ask", &encode(&config_ask()).expect("encoded"));
    for (name, answer) in config_answers() {
        write(name, &encode(&answer).expect("encoded"));
    }
}
