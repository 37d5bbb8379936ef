#!/usr/bin/env node
// Npm links this file at installation, when dist is not built yet.
import '../dist/main.js';
