use {
    nix::{
        sys::signal::{Signal, kill},
        unistd::Pid,
    },
    std::{
        fs::{self, File},
        net::SocketAddr,
        path::PathBuf,
        process::{Child, Command, Stdio},
        time::Duration,
    },
};

/// A daemon that runs as a separate process.
pub struct DaemonProcess {
    pub id: String,
    pub domain: usize,
    pub callers: SocketAddr,
    pub operators: SocketAddr,
    settings: PathBuf,
    log: PathBuf,
    child: Option<Child>,
}

impl DaemonProcess {
    pub fn new(
        id: &str,
        domain: usize,
        callers: SocketAddr,
        operators: SocketAddr,
        settings: PathBuf,
    ) -> Self {
        let log = settings.with_extension("log");
        Self {
            id: id.to_string(),
            domain,
            callers,
            operators,
            settings,
            log,
            child: None,
        }
    }

    pub fn start(&mut self) {
        let log = File::options()
            .create(true)
            .append(true)
            .open(&self.log)
            .unwrap();
        let child = Command::new(env!("CARGO_BIN_EXE_saddlepulley"))
            .arg("serve")
            .arg("--settings")
            .arg(&self.settings)
            .stderr(log)
            .stdout(Stdio::null())
            .spawn()
            .unwrap();
        self.child = Some(child);
    }

    /// Sends SIGKILL, as when a box fails unannounced, and waits for the exit.
    pub fn kill(&mut self) {
        self.signal(Signal::SIGKILL);
        if let Some(mut child) = self.child.take() {
            child.wait().unwrap();
        }
    }

    /// Sends SIGTERM, which starts a planned stop.
    pub fn terminate(&self) {
        self.signal(Signal::SIGTERM);
    }

    /// Sends SIGSTOP: the process stands still and cannot detect it.
    pub fn freeze(&self) {
        self.signal(Signal::SIGSTOP);
    }

    /// Sends SIGCONT, which ends a freeze.
    pub fn thaw(&self) {
        self.signal(Signal::SIGCONT);
    }

    /// Waits until the process has exited by itself. Returns `false` if it still runs after
    /// `within`.
    pub async fn wait_exit(&mut self, within: Duration) -> bool {
        let deadline = tokio::time::Instant::now() + within;
        while tokio::time::Instant::now() < deadline {
            let Some(child) = &mut self.child else {
                return true;
            };
            if child.try_wait().unwrap().is_some() {
                self.child = None;
                return true;
            }
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
        false
    }

    pub fn log(&self) -> String {
        fs::read_to_string(&self.log).unwrap_or_default()
    }

    fn signal(&self, signal: Signal) {
        if let Some(child) = &self.child {
            let _ = kill(Pid::from_raw(child.id() as i32), signal);
        }
    }
}

impl Drop for DaemonProcess {
    fn drop(&mut self) {
        let died = match &mut self.child {
            Some(child) => child.try_wait().unwrap().is_some(),
            None => false,
        };
        self.kill();
        if std::thread::panicking() || died {
            eprintln!("---- log of {} (died={died})\n{}", self.id, self.log());
        }
    }
}
