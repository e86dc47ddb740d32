import { createChecker } from '../common/configurationFormat.js';
import { serviceFileFormat } from '../common/serviceFileFormat.js';
import { runCommandLine } from './commandLine.js';

await runCommandLine([createChecker(serviceFileFormat)]);
